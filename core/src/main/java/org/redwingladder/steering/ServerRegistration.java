package org.redwingladder.steering;

/**
 * The registration of a backend server.
 *
 * @param id the id of this incarnation of the server
 * @param service the service to which the server belongs
 * @param address the address on which it listens, as {@code ip:port}
 * @param zone the server's availability zone
 * @param slots the number of requests that it processes concurrently
 * @param draining whether it accepts no new requests because it is shutting down
 * @param startedMillis its start time in epoch milliseconds of its own clock; 0 if unknown
 * @param coldUntilNanos the instant at which its warm-up ends, on the monotonic clock of this host
 */
public record ServerRegistration(
        String id,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        long startedMillis,
        long coldUntilNanos) {
    public ServerRegistration {
        if (slots < 1) {
            throw new IllegalArgumentException("server " + id + ": slots must be positive");
        }
    }
}
