package org.redwingladder.steering;

/**
 * Connection limit and warm-up parameters of a service.
 *
 * @param name the service's name
 * @param maxConnections the connections that one backend server accepts from all hosts together
 * @param warmUpMillis the time for which a backend server is cold after its start
 * @param coldRequestsPerSecond the request rate that a cold backend server supports from all hosts
 *     together
 */
public record ServiceSpec(
        String name, int maxConnections, long warmUpMillis, double coldRequestsPerSecond) {}
