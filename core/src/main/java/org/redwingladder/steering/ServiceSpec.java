package org.redwingladder.steering;

import org.jspecify.annotations.Nullable;

/**
 * Connection limit, warm-up and health check parameters of a service.
 *
 * @param name the service's name
 * @param maxConnections the connections that one backend server accepts from all hosts together
 * @param warmUpMillis the time for which a backend server is cold after its start
 * @param coldRequestsPerSecond the request rate that a cold backend server supports from all hosts
 *     together
 * @param healthPath the path at which a backend server tells its health, null if it has none
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        long warmUpMillis,
        double coldRequestsPerSecond,
        @Nullable String healthPath) {
    /** Creates the parameters of a service without health checks. */
    public ServiceSpec(
            String name, int maxConnections, long warmUpMillis, double coldRequestsPerSecond) {
        this(name, maxConnections, warmUpMillis, coldRequestsPerSecond, null);
    }
}
