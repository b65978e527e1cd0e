package org.redwingladder.steering;

import java.util.List;
import java.util.Map;

/**
 * Holds one accepted version of the steering settings.
 *
 * @param version the version; a host never goes back to a lower one
 * @param routes all routes
 * @param services all services by name
 * @param limits the limits on clients
 */
public record SteeringSettings(
        long version, List<Route> routes, Map<String, ServiceSpec> services, ClientLimits limits) {
    /** Checks that each destination is a known service. */
    public SteeringSettings {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        for (Route route : routes) {
            for (Destination destination : route.destinations()) {
                if (!services.containsKey(destination.service())) {
                    throw new IllegalArgumentException(
                            "route " + route.name() + ": unknown service " + destination.service());
                }
            }
        }
    }
}
