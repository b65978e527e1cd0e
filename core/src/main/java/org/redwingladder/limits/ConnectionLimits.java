package org.redwingladder.limits;

/**
 * The most open connections of each listener of a host. Together they leave as many descriptors as
 * clients have for connections to backend servers, and some for the store and other hosts.
 *
 * @param clients the connections on which clients send requests
 * @param lookups the connections on which clients look up entry hosts
 * @param readiness the connections of readiness probes
 * @param peers the connections of other hosts
 */
public record ConnectionLimits(int clients, int lookups, int readiness, int peers) {
    /** The descriptors of files, libraries and the runtime itself. */
    private static final int RESERVED_FOR_FILES = 200;

    /** The fewest descriptors with which a host can work. */
    public static final int MIN_DESCRIPTORS = 2 * RESERVED_FOR_FILES;

    private static final int MIN_READINESS = 8;

    /**
     * Returns the limits of a host.
     *
     * @param descriptors the most files and sockets that the host may open
     * @throws IllegalArgumentException if there are fewer than {@link #MIN_DESCRIPTORS}
     */
    public static ConnectionLimits ofDescriptors(int descriptors) {
        if (descriptors < MIN_DESCRIPTORS) {
            throw new IllegalArgumentException("too few descriptors: " + descriptors);
        }
        int sockets = descriptors - RESERVED_FOR_FILES;
        return new ConnectionLimits(
                sockets * 3 / 8, sockets / 16, Math.max(MIN_READINESS, sockets / 64), sockets / 16);
    }
}
