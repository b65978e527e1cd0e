package org.redwingladder.steering;

import static java.util.Objects.requireNonNull;

import java.util.Map;

/**
 * State that an entry host publishes about itself and that spreads by gossip.
 *
 * @param name the host's name
 * @param startedMillis the start time of its process in epoch milliseconds, which distinguishes
 *     incarnations
 * @param beats the heartbeat counter, which increases while the process runs
 * @param zone the host's availability zone
 * @param peerAddress the address for other hosts
 * @param clientAddress the address for clients
 * @param serving whether look-ups may direct clients to the host
 * @param storeReachable whether the host's last call to the store succeeded
 * @param capacity the largest request rate for the host, in requests per second; see {@link
 *     HostResources}
 * @param demand the request rate that the host receives, in requests per second by service
 */
public record HostState(
        String name,
        long startedMillis,
        long beats,
        String zone,
        String peerAddress,
        String clientAddress,
        boolean serving,
        boolean storeReachable,
        double capacity,
        Map<String, Double> demand) {
    /** Rejects a state with missing fields, as a malformed message may have. */
    public HostState {
        requireNonNull(name);
        requireNonNull(zone);
        requireNonNull(peerAddress);
        requireNonNull(clientAddress);
        requireNonNull(demand);
    }

    /** Returns the total request rate of all services. */
    double requestsPerSecond() {
        double sum = 0;
        for (double rate : demand.values()) {
            sum += rate;
        }
        return sum;
    }

    /** Returns whether this state is newer than {@code other}, a state of the same host. */
    boolean newerThan(HostState other) {
        return startedMillis != other.startedMillis
                ? startedMillis > other.startedMillis
                : beats > other.beats;
    }
}
