package org.redwingladder.settings;

/**
 * A backend server.
 *
 * @param service the service it belongs to
 * @param zone its availability zone
 * @param address where it listens, as {@code ip:port}
 * @param slots the number of requests that it processes concurrently
 * @param connections the number of connections that it accepts
 * @param state whether it may receive new work
 */
public record BackendServer(
        String service,
        String zone,
        String address,
        int slots,
        int connections,
        BackendState state) {}
