package org.redwingladder.steering;

/**
 * Describes a backend server as it registered itself.
 *
 * @param id the identity of this start of the server
 * @param service the service it belongs to
 * @param address where it listens, as {@code ip:port}
 * @param zone its availability zone
 * @param slots how many requests it processes at once
 * @param draining whether it is about to leave
 * @param bornMillis when it started, in epoch milliseconds of its own clock; 0 if unknown
 * @param coldUntilNanos until when it is cold, on the monotonic clock of this host
 */
public record ServerEntry(
        String id,
        String service,
        String address,
        String zone,
        int slots,
        boolean draining,
        long bornMillis,
        long coldUntilNanos) {
    public ServerEntry {
        if (slots < 1) {
            throw new IllegalArgumentException("server " + id + ": slots must be positive");
        }
    }
}
