package org.redwingladder.request;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.redwingladder.limits.SiteCap;
import org.redwingladder.routing.SiteConfig;

/**
 * Holds what the owner of a site needs to know about it.
 *
 * @param config the site's configuration
 * @param addresses the address of each backend server by its name
 * @param regionOfZone the region of each zone
 * @param caps this site's part of the caps
 * @param bitsPerSecondByRegion this site's part of the link to each other region
 * @param carriedOverUntilNanos until when a former owner's work counts as running; {@link
 *     System#nanoTime} or earlier if there is none
 */
public record SiteSpec(
        SiteConfig config,
        Map<String, InetSocketAddress> addresses,
        Map<String, String> regionOfZone,
        List<SiteCap> caps,
        Map<String, Long> bitsPerSecondByRegion,
        long carriedOverUntilNanos) {

    public SiteSpec {
        addresses = Map.copyOf(addresses);
        regionOfZone = Map.copyOf(regionOfZone);
        caps = List.copyOf(caps);
        bitsPerSecondByRegion = Map.copyOf(bitsPerSecondByRegion);
    }
}
