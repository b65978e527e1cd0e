package org.redwingladder.daemon;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The validated configuration of a daemon.
 *
 * @param host the host's name
 * @param zone the host's availability zone
 * @param incarnation identifies this run of the process; higher than in all earlier runs on the
 *     host
 * @param listen the addresses of the listeners
 * @param platform the addresses of the platform, at least one
 * @param tokenKey the deployment's secret key for signing tokens
 * @param limits the resource limits
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
     * The addresses of the listeners; port 0 selects an ephemeral port.
     *
     * @param client the listener for clients
     * @param peer the listener for other entry hosts
     * @param operator the listener for operators
     */
    public record Listen(
            InetSocketAddress client, InetSocketAddress peer, InetSocketAddress operator) {}

    /**
     * The resource limits of the process.
     *
     * @param ioThreads the number of I/O threads
     * @param connections the maximum number of open connections of each listener
     * @param connectionsPerAddress the maximum number of open connections to one address
     * @param stopMillis the maximum duration of a graceful shutdown
     */
    public record Limits(
            int ioThreads, int connections, int connectionsPerAddress, long stopMillis) {
        /** Defaults for a host with a few cores. */
        public static final Limits DEFAULT = new Limits(2, 8192, 1024, 60_000);
    }
}
