package org.redwingladder.steering;

import java.util.List;
import java.util.Set;

/**
 * Routing rule for the requests of one host name whose paths have a common prefix.
 *
 * @param name the route's name
 * @param host the requested host name
 * @param prefix the path prefix, with a slash at both ends
 * @param kind whether requests may run more than once
 * @param timeoutMillis the longest time from the arrival of a request to its answer
 * @param objectiveMillis the latency objective, within which an answer has its full value to the
 *     client
 * @param priority the priority; 0 is the highest
 * @param destinations the services among which the requests are distributed, at least one
 * @param maxAttempts the largest number of backend servers to which one request may be sent
 * @param affinity whether a backend server is faster for an object that it handled recently
 * @param homeRegions the regions whose servers may serve the route; empty for all
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<WeightedService> destinations,
        int maxAttempts,
        boolean affinity,
        Set<String> homeRegions) {
    /**
     * Validates the route.
     *
     * @throws IllegalArgumentException if the prefix does not start and end with a slash, or the
     *     timeout or the attempts are not positive, or there are no destinations
     */
    public Route {
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "route " + name + ": prefix '" + prefix + "' must start and end with a slash");
        }
        if (timeoutMillis <= 0 || maxAttempts < 1 || destinations.isEmpty()) {
            throw new IllegalArgumentException(
                    "route "
                            + name
                            + ": timeout and attempts must be positive, and services not empty");
        }
        destinations = List.copyOf(destinations);
        homeRegions = Set.copyOf(homeRegions);
    }

    /** Returns whether backend servers of a region may serve the route. */
    public boolean allowsRegion(String region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }
}
