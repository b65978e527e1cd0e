package org.redwingladder.standin;

import java.util.List;

/**
 * Configures a platform stand-in.
 *
 * @param ip the address to listen on
 * @param ports the ports to listen on, 0 for a port that the kernel chooses; all serve the same
 *     data, and a fault can cut off the callers of one of them
 * @param hostsLagMillis how long a change of the host list stays invisible
 * @param readsPerSecond the most reads a second; 0 for no limit
 * @param writesPerSecond the most writes a second; 0 for no limit
 */
public record PlatformOptions(
        String ip,
        List<Integer> ports,
        long hostsLagMillis,
        int readsPerSecond,
        int writesPerSecond) {
    /** Listens on one port that the kernel chooses, without lag and limits. */
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
