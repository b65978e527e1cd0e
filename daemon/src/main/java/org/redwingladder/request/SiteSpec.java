package org.redwingladder.request;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.redwingladder.http.Addresses;
import org.redwingladder.limits.SiteCap;
import org.redwingladder.limits.SiteLimits;
import org.redwingladder.routing.BackendSpec;
import org.redwingladder.routing.SiteConfig;
import org.redwingladder.settings.BackendState;
import org.redwingladder.settings.CapParts;
import org.redwingladder.settings.Service;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;

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
 * @param carriedOverInFlight how many of a former owner's requests count until then
 */
public record SiteSpec(
        SiteConfig config,
        Map<String, InetSocketAddress> addresses,
        Map<String, String> regionOfZone,
        List<SiteCap> caps,
        Map<String, Long> bitsPerSecondByRegion,
        long carriedOverUntilNanos,
        int carriedOverInFlight) {

    /** Describes a site under whose caps any number of a former owner's requests may run. */
    public SiteSpec(
            SiteConfig config,
            Map<String, InetSocketAddress> addresses,
            Map<String, String> regionOfZone,
            List<SiteCap> caps,
            Map<String, Long> bitsPerSecondByRegion,
            long carriedOverUntilNanos) {
        this(
                config,
                addresses,
                regionOfZone,
                caps,
                bitsPerSecondByRegion,
                carriedOverUntilNanos,
                Integer.MAX_VALUE);
    }

    /** Copies the collections. */
    public SiteSpec {
        addresses = Map.copyOf(addresses);
        regionOfZone = Map.copyOf(regionOfZone);
        caps = List.copyOf(caps);
        bitsPerSecondByRegion = Map.copyOf(bitsPerSecondByRegion);
    }

    /**
     * Returns the specification of a site.
     *
     * @param settings the settings in force
     * @param site the site
     * @param parts the parts of caps and links that the site may use
     * @param leaving the backend servers that the platform's list marks as leaving
     * @param carriedOverUntilNanos until when a former owner's work counts as running
     * @param carriedOverInFlight how many of a former owner's requests count until then
     * @throws IllegalArgumentException if the settings do not name the service
     */
    public static SiteSpec of(
            Settings settings,
            Site site,
            CapParts parts,
            Set<String> leaving,
            long carriedOverUntilNanos,
            int carriedOverInFlight) {
        Service service = settings.services().get(site.service());
        if (service == null) {
            throw new IllegalArgumentException("unknown service " + site.service());
        }
        List<BackendSpec> backends = new ArrayList<>();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        settings.backendServers(site)
                .forEach(
                        (name, backend) -> {
                            boolean draining =
                                    backend.state() == BackendState.DRAINING
                                            || leaving.contains(name);
                            backends.add(
                                    new BackendSpec(
                                            name,
                                            backend.slots(),
                                            backend.connections(),
                                            draining));
                            addresses.put(name, Addresses.parse(backend.address()));
                        });
        SiteConfig config =
                new SiteConfig(
                        site.service(),
                        TimeUnit.MILLISECONDS.toNanos(service.maxRequestMillis()),
                        TimeUnit.MILLISECONDS.toNanos(service.rampMillis()),
                        service.longSlotsPercent(),
                        backends);
        Map<String, String> regions = new HashMap<>();
        settings.regions()
                .forEach((name, region) -> region.zones().forEach(zone -> regions.put(zone, name)));
        Map<String, Long> bits = new HashMap<>();
        parts.links().forEach(link -> bits.merge(link.to(), link.bitsPerSecond(), Long::sum));
        return new SiteSpec(
                config, addresses, regions, caps(parts), bits, carriedOverUntilNanos, carriedOverInFlight);
    }

    /** Counts the former owner's work under {@code limits}; a repeated call changes nothing. */
    void carryOver(SiteLimits limits) {
        limits.carryOver(carriedOverInFlight, carriedOverUntilNanos);
    }

    private static List<SiteCap> caps(CapParts parts) {
        List<SiteCap> caps = new ArrayList<>();
        for (CapParts.CapPart part : parts.caps()) {
            Long rate = part.requestsPerSecond();
            Integer inFlight = part.inFlight();
            caps.add(
                    new SiteCap(
                            part.cap(),
                            part.from(),
                            rate == null ? SiteCap.UNLIMITED : rate,
                            inFlight == null ? SiteCap.UNLIMITED : inFlight));
        }
        return caps;
    }
}
