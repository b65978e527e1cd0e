package org.redwingladder.request;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.redwingladder.http.Addresses;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.limits.SiteCap;
import org.redwingladder.routing.BackendSpec;
import org.redwingladder.routing.SiteConfig;
import org.redwingladder.settings.BackendState;
import org.redwingladder.settings.Service;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;
import org.redwingladder.settings.SiteQuotas;

/**
 * The configuration of a site for its owner.
 *
 * @param config the site's dispatcher configuration
 * @param addresses the addresses of the backend servers by name
 * @param regionOfZone the region of each zone
 * @param caps this site's shares of the caps
 * @param bitsPerSecondByRegion this site's shares of the links to other regions, in bits per second
 * @param carriedOverUntilNanos when the last request of the previous owner ends at the latest, on
 *     the clock of {@link System#nanoTime}; in the past if there is no previous owner
 * @param carriedOverInFlight how many requests of the previous owner count against the caps until
 *     then
 */
public record SiteSpec(
        SiteConfig config,
        Map<String, InetSocketAddress> addresses,
        Map<String, String> regionOfZone,
        List<SiteCap> caps,
        Map<String, Long> bitsPerSecondByRegion,
        long carriedOverUntilNanos,
        int carriedOverInFlight) {

    /** Creates the configuration of a site whose previous owner's in-flight count is unknown. */
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
     * Returns the configuration of a site.
     *
     * @param settings the settings in force
     * @param site the site
     * @param parts the site's shares of caps and links
     * @param leaving the backend servers that the platform's host list marks as leaving
     * @param carriedOverUntilNanos when the last request of the previous owner ends at the latest
     * @param carriedOverInFlight how many requests of the previous owner count until then
     * @throws IllegalArgumentException if the settings do not contain the site's service
     */
    public static SiteSpec of(
            Settings settings,
            Site site,
            SiteQuotas parts,
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
                config,
                addresses,
                regions,
                caps(parts),
                bits,
                carriedOverUntilNanos,
                carriedOverInFlight);
    }

    /** Counts the previous owner's in-flight requests against {@code limits}. Idempotent. */
    void carryOver(AdmissionController limits) {
        limits.inheritInFlight(carriedOverInFlight, carriedOverUntilNanos);
    }

    private static List<SiteCap> caps(SiteQuotas parts) {
        List<SiteCap> caps = new ArrayList<>();
        for (SiteQuotas.CapQuota part : parts.caps()) {
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
