package org.redwingladder.standin;

import java.util.List;

/**
 * Options of a platform stand-in.
 *
 * @param ip the address to listen on
 * @param ports the ports to listen on, 0 for an ephemeral port; all serve the same data, and a
 *     fault can block the clients of one of them
 * @param hostsLagMillis the delay until a change of the host list becomes visible, in milliseconds
 * @param readsPerSecond the maximum number of reads per second; 0 for no limit
 * @param writesPerSecond the maximum number of writes per second; 0 for no limit
 */
public record PlatformOptions(
        String ip,
        List<Integer> ports,
        long hostsLagMillis,
        int readsPerSecond,
        int writesPerSecond) {
    /** One ephemeral port, no lag and no rate limits. */
    public static final PlatformOptions DEFAULT =
            new PlatformOptions("127.0.0.1", List.of(0), 0, 0, 0);

    /**
     * Copies the list of ports.
     *
     * @throws IllegalArgumentException if there is no port
     */
    public PlatformOptions {
        ports = List.copyOf(ports);
        if (ports.isEmpty()) {
            throw new IllegalArgumentException("at least one port is required");
        }
    }
}
