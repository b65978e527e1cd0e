package org.redwingladder.steering;

import java.util.List;
import java.util.Set;

/**
 * Says where the requests below a path go and what may be done with them.
 *
 * @param name the route's name
 * @param host the host name that clients ask for
 * @param prefix the start of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis the longest time from the arrival of a request to its answer
 * @param objectiveMillis the time within which an answer is of full use to the client
 * @param priority the rank, 0 is the most urgent
 * @param destinations the services that share the requests, at least one
 * @param maxAttempts the largest number of backend servers that one request may be sent to
 * @param affinity whether a backend server that handled the same object lately works faster
 * @param homeRegions the only regions that may serve the route; empty for all
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<Destination> destinations,
        int maxAttempts,
        boolean affinity,
        Set<String> homeRegions) {
    /** Checks the prefix and that the bounds are positive. */
    public Route {
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "route " + name + ": prefix '" + prefix + "' needs a slash at both ends");
        }
        if (timeoutMillis <= 0 || maxAttempts < 1 || destinations.isEmpty()) {
            throw new IllegalArgumentException(
                    "route " + name + ": timeout, attempts and destinations must be positive");
        }
        destinations = List.copyOf(destinations);
        homeRegions = Set.copyOf(homeRegions);
    }

    /** Returns whether backend servers of a region may serve the route. */
    public boolean allowsRegion(String region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }
}
