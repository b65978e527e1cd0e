package org.redwingladder.daemon;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Holds the checked configuration of a daemon.
 *
 * @param host the host's name
 * @param zone the host's availability zone
 * @param incarnation names this start of the process; higher than at any start of the host before
 * @param listen where the process listens
 * @param platform the addresses of the platform, of which there is at least one
 * @param tokenKey the deployment's key for tokens
 * @param limits the bounds
 */
@SuppressWarnings("ArrayRecordComponent")
public record DaemonConfig(
        String host,
        String zone,
        long incarnation,
        Listen listen,
        List<InetSocketAddress> platform,
        byte[] tokenKey,
        Limits limits) {

    /** Copies the list of addresses. */
    public DaemonConfig {
        platform = List.copyOf(platform);
    }

    /**
     * Holds the addresses of the listeners; port 0 lets the kernel choose.
     *
     * @param client serves clients
     * @param peer serves other entry hosts
     * @param operator serves operators
     */
    public record Listen(
            InetSocketAddress client, InetSocketAddress peer, InetSocketAddress operator) {}

    /**
     * Bounds what the process uses.
     *
     * @param ioThreads the threads that serve connections
     * @param connections the most open connections of each listener
     * @param connectionsPerAddress the most open connections to one address
     * @param stopMillis how long a planned stop may take
     */
    public record Limits(
            int ioThreads, int connections, int connectionsPerAddress, long stopMillis) {
        /** Suits a host of a few cores. */
        public static final Limits DEFAULT = new Limits(2, 8192, 1024, 60_000);
    }
}
