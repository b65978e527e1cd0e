package org.redwingladder.settings;

/**
 * Describes a backend server.
 *
 * @param service the service it belongs to
 * @param zone its availability zone
 * @param address where it listens, as {@code ip:port}
 * @param slots how many requests it works on at once
 * @param connections how many connections it accepts
 * @param state whether it may receive new work
 */
public record BackendServer(
        String service,
        String zone,
        String address,
        int slots,
        int connections,
        BackendState state) {}
