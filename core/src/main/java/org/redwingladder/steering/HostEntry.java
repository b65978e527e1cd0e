package org.redwingladder.steering;

import java.util.Map;

/**
 * Tells what a host says of itself.
 *
 * @param name the host's name
 * @param startedMillis when its process started, in epoch milliseconds
 * @param beats rises while the process runs
 * @param zone its availability zone
 * @param peerAddress where other hosts reach it
 * @param clientAddress where clients reach it
 * @param serving whether clients should be sent to it
 * @param storeReachable whether the store answered it when it last asked
 * @param capacity the requests a second that it should receive at most, see {@link HostSize}
 * @param demand the requests a second that it receives, by service
 */
public record HostEntry(
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

    /** Returns the requests a second of all services. */
    double requestsPerSecond() {
        double sum = 0;
        for (double rate : demand.values()) {
            sum += rate;
        }
        return sum;
    }

    /** Returns whether this is newer than {@code other}, which describes the same host. */
    boolean newerThan(HostEntry other) {
        return startedMillis != other.startedMillis
                ? startedMillis > other.startedMillis
                : beats > other.beats;
    }
}
