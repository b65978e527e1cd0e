package org.redwingladder.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.HostResources;

/**
 * The configuration of an entry host.
 *
 * @param host the host's name
 * @param zone its availability zone
 * @param regionOfZone the region of each zone of the deployment
 * @param clients the listen address for client requests
 * @param readiness the listen address for readiness probes
 * @param lookups the listen address for look-ups of entry hosts
 * @param peers the listen address for gossip and metrics
 * @param seeds peer addresses of other hosts, for the first contact
 * @param store the address of the platform's store
 * @param size the processor time and network bandwidth that the host may use
 * @param bounds the limits that the deployment guarantees
 */
public record EntryConfig(
        String host,
        String zone,
        Map<String, String> regionOfZone,
        InetSocketAddress clients,
        InetSocketAddress readiness,
        InetSocketAddress lookups,
        InetSocketAddress peers,
        List<InetSocketAddress> seeds,
        InetSocketAddress store,
        HostResources size,
        Bounds bounds) {

    /**
     * The limits that a deployment guarantees.
     *
     * @param stopMillis the longest time from the request to stop to the end of the process
     * @param lookupLifetimeMillis the longest lifetime of a look-up's response
     * @param retryRatio the retries and hedges per request of a service, over all hosts
     * @param retryAllowance the retries and hedges beyond the ratio in one window, over all hosts
     * @param retryWindowMillis the length of the window of the retry budget
     */
    public record Bounds(
            long stopMillis,
            long lookupLifetimeMillis,
            double retryRatio,
            double retryAllowance,
            long retryWindowMillis) {}

    /** Returns a copy of this configuration with the seeds and bounds of another one. */
    EntryConfig withSeedsAndBoundsOf(EntryConfig other) {
        return new EntryConfig(
                host,
                zone,
                regionOfZone,
                clients,
                readiness,
                lookups,
                peers,
                other.seeds,
                store,
                size,
                other.bounds);
    }

    /** Returns the region of this host. */
    public String region() {
        String region = regionOfZone.get(zone);
        if (region == null) {
            throw new IllegalStateException("zone " + zone + " has no region");
        }
        return region;
    }

    /** Returns the region of a zone, null if the deployment has no such zone. */
    public @Nullable String region(String zoneName) {
        return regionOfZone.get(zoneName);
    }
}
