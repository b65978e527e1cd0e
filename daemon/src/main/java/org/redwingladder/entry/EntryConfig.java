package org.redwingladder.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.HostSize;

/**
 * Holds the configuration of an entry host.
 *
 * @param host the host's name
 * @param zone its availability zone
 * @param regionOfZone the region of each zone of the deployment
 * @param clients where clients connect
 * @param readiness where the platform asks for readiness
 * @param lookups where clients ask for entry hosts
 * @param peers where other hosts connect
 * @param seeds peer addresses of hosts that may be running
 * @param store the platform's store
 * @param size what the host may use
 * @param bounds the limits that the deployment keeps
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
        HostSize size,
        Bounds bounds) {

    /**
     * Holds the limits of a deployment.
     *
     * @param stopMillis the time from the request to stop to the end of the process
     * @param lookupLifetimeMillis the longest time that a look-up's answer may be used
     * @param retryRatio the repeated sends for each request of a service, over all hosts
     * @param retryAllowance the repeated sends beyond the ratio in one window, over all hosts
     * @param retryWindowMillis the length of the window
     */
    public record Bounds(
            long stopMillis,
            long lookupLifetimeMillis,
            double retryRatio,
            double retryAllowance,
            long retryWindowMillis) {}

    /** Returns this configuration with the seeds and bounds of another one. */
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
    public @Nullable String region(String ofZone) {
        return regionOfZone.get(ofZone);
    }
}
