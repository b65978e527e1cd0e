package org.redwingladder.steering;

import java.util.List;
import java.util.Map;

/**
 * One accepted version of the routing settings.
 *
 * @param version the version; a host never applies a version lower than its current one
 * @param routes all routes
 * @param services all services by name
 * @param limits the limits for clients
 */
public record SteeringSettings(
        long version, List<Route> routes, Map<String, ServiceSpec> services, ClientLimits limits) {
    /**
     * Validates the destinations.
     *
     * @throws IllegalArgumentException if a destination is not one of the services
     */
    public SteeringSettings {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        for (Route route : routes) {
            for (WeightedService destination : route.destinations()) {
                if (!services.containsKey(destination.service())) {
                    throw new IllegalArgumentException(
                            "route " + route.name() + ": unknown service " + destination.service());
                }
            }
        }
    }
}
