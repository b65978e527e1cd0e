package org.redwingladder.steering;

/**
 * Describes a service.
 *
 * @param name the service's name
 * @param maxConnections the connections that one backend server accepts from all hosts together
 * @param warmUpMillis how long a backend server is cold after its start
 * @param coldRequestsPerSecond the rate that a cold backend server bears from all hosts together
 */
public record ServiceSpec(
        String name, int maxConnections, long warmUpMillis, double coldRequestsPerSecond) {}
