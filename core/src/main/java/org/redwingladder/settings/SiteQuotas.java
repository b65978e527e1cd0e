package org.redwingladder.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The shares of caps and links that one site may use.
 *
 * <p>A cap is divided equally among the service's zones inside its {@code to}, with remainders to
 * the first zones in name order; a link is divided among the zones of its sending region and then
 * among the services of the zone. The quota of a version is usable only when no sharing zone still
 * serves by an older version, so a site uses the minimum over all versions that may be in use.
 *
 * @param caps the quotas of caps
 * @param links the quotas of links out of the site's region
 */
public record SiteQuotas(List<CapQuota> caps, List<LinkQuota> links) {

    /**
     * A site's quota of a cap.
     *
     * @param cap the cap's name
     * @param from the zone, region or {@code any} that the requests come from
     * @param requestsPerSecond the maximum rate, or null if the rate is not limited
     * @param inFlight the maximum number of requests in flight, or null if it is not limited
     */
    public record CapQuota(
            String cap,
            String from,
            @Nullable Long requestsPerSecond,
            @Nullable Integer inFlight) {}

    /**
     * A site's quota of a link.
     *
     * @param link the link's name
     * @param to the receiving region
     * @param bitsPerSecond the rate
     */
    public record LinkQuota(String link, String to, long bitsPerSecond) {}

    public SiteQuotas {
        caps = List.copyOf(caps);
        links = List.copyOf(links);
    }

    /** Returns the quotas of {@code site} in one settings version. */
    public static SiteQuotas of(Settings settings, Site site) {
        NavigableMap<Long, Settings> one = new TreeMap<>(Map.of(1L, settings));
        return of(one, ZoneAcks.of(1, Map.of()), site);
    }

    /**
     * Returns the quotas that {@code site} may use while other zones may still serve by an older
     * version.
     *
     * <p>An unknown version that may be in use by a sharing zone gives a quota of 0.
     *
     * @param versions the known settings, by version; the last one is in force here, and each other
     *     one applies to all versions up to the next
     * @param acks the version that each zone has acknowledged
     * @param site the site
     */
    public static SiteQuotas of(NavigableMap<Long, Settings> versions, ZoneAcks acks, Site site) {
        long own = versions.lastKey();
        long oldest = Math.min(own, acks.asOf());
        for (long version : acks.byZone().values()) {
            oldest = Math.min(oldest, version);
        }
        SortedSet<SharedCap> sharedCaps = new TreeSet<>();
        SortedSet<SharedLink> sharedLinks = new TreeSet<>();
        for (Settings settings : since(versions, oldest)) {
            settings.caps()
                    .forEach(
                            (name, cap) -> {
                                if (cap.service().equals(site.service())) {
                                    sharedCaps.add(SharedCap.of(name, cap));
                                }
                            });
            settings.links().forEach((name, link) -> sharedLinks.add(SharedLink.of(name, link)));
        }
        List<CapQuota> caps = new ArrayList<>();
        for (SharedCap share : sharedCaps) {
            MinimumLimit limit = minimum(versions, acks, share, site);
            if (limit.mApplies) {
                Long inFlight = limit.mInFlight;
                caps.add(
                        new CapQuota(
                                share.name(),
                                share.from(),
                                limit.mRate,
                                inFlight == null ? null : inFlight.intValue()));
            }
        }
        List<LinkQuota> links = new ArrayList<>();
        for (SharedLink share : sharedLinks) {
            MinimumLimit limit = minimum(versions, acks, share, site);
            if (limit.mApplies && limit.mRate != null) {
                links.add(new LinkQuota(share.name(), share.to(), limit.mRate));
            }
        }
        return new SiteQuotas(caps, links);
    }

    /** Returns share {@code index} of {@code total} divided into {@code count} equal shares. */
    static long equalShare(long total, int count, int index) {
        return total / count + (index < total % count ? 1 : 0);
    }

    private static MinimumLimit minimum(
            NavigableMap<Long, Settings> versions, ZoneAcks acks, SharedLimit share, Site site) {
        long own = versions.lastKey();
        long lowest = Math.min(own, acks.asOf());
        for (Map.Entry<String, Long> ack : acks.byZone().entrySet()) {
            // A site has a single owner, this process, so its own zone's acknowledgement matters
            // only
            // if several services of the zone share the limit.
            boolean counts = share.sharedInsideZone() || !ack.getKey().equals(site.zone());
            if (counts && ack.getValue() < lowest && shares(versions, share, ack)) {
                lowest = ack.getValue();
            }
        }
        MinimumLimit limit = new MinimumLimit();
        for (Settings settings : since(versions, lowest)) {
            share.restrict(settings, site, limit);
        }
        if (lowest < versions.firstKey()) {
            limit.restrict(0L, 0L);
        }
        return limit;
    }

    /** Returns the settings of {@code version} and all later versions. */
    private static Iterable<Settings> since(NavigableMap<Long, Settings> versions, long version) {
        Long first = versions.floorKey(version);
        return (first == null ? versions : versions.tailMap(first, true)).values();
    }

    /** Returns whether both settings give every site the same quotas. */
    static boolean sameQuotas(Settings a, Settings b) {
        if (!a.regions().equals(b.regions()) || !a.links().equals(b.links())) {
            return false;
        }
        return a.teams().equals(b.teams())
                || (a.caps().equals(b.caps()) && a.sites().equals(b.sites()));
    }

    private static boolean shares(
            NavigableMap<Long, Settings> versions, SharedLimit share, Map.Entry<String, Long> ack) {
        if (ack.getValue() < versions.firstKey()) {
            return true;
        }
        for (Settings settings : since(versions, ack.getValue())) {
            if (share.covers(settings, ack.getKey())) {
                return true;
            }
        }
        return false;
    }

    /** The minimum of a quota over versions; null means unlimited. */
    static final class MinimumLimit {
        boolean mApplies;
        @Nullable Long mRate;
        @Nullable Long mInFlight;

        void restrict(@Nullable Long rate, @Nullable Long inFlight) {
            mRate = min(mRate, rate);
            mInFlight = min(mInFlight, inFlight);
        }

        private static @Nullable Long min(@Nullable Long a, @Nullable Long b) {
            if (a == null || b == null) {
                return a == null ? b : a;
            }
            return Math.min(a, b);
        }
    }

    /**
     * A cap or link that several sites share. A changed scope makes it a different shared limit.
     */
    private sealed interface SharedLimit {
        /** Returns whether the services of one zone share the limit. */
        boolean sharedInsideZone();

        /** Returns whether any site of {@code zone} has a quota in {@code settings}. */
        boolean covers(Settings settings, String zone);

        /** Restricts {@code limit} to the quota of {@code site} in {@code settings}. */
        void restrict(Settings settings, Site site, MinimumLimit limit);
    }

    private record SharedCap(String name, String service, String from, String to)
            implements SharedLimit, Comparable<SharedCap> {

        static SharedCap of(String name, Cap cap) {
            return new SharedCap(name, cap.service(), cap.from(), cap.to());
        }

        @Override
        public boolean sharedInsideZone() {
            return false;
        }

        @Override
        public boolean covers(Settings settings, String zone) {
            return cap(settings) != null && zonesOf(settings).contains(zone);
        }

        @Override
        public void restrict(Settings settings, Site site, MinimumLimit limit) {
            Cap cap = cap(settings);
            if (cap == null) {
                return;
            }
            List<String> zones = zonesOf(settings);
            int index = zones.indexOf(site.zone());
            limit.mApplies |= index >= 0;
            Integer inFlight = cap.inFlight();
            limit.restrict(
                    shareOf(cap.requestsPerSecond(), zones.size(), index),
                    shareOf(inFlight == null ? null : inFlight.longValue(), zones.size(), index));
        }

        private @Nullable Cap cap(Settings settings) {
            Cap cap = settings.caps().get(name);
            return cap != null && of(name, cap).equals(this) ? cap : null;
        }

        private List<String> zonesOf(Settings settings) {
            Service found = settings.services().get(service);
            return found == null
                    ? List.of()
                    : found.zones().keySet().stream()
                            .filter(zone -> settings.covers(to, zone))
                            .toList();
        }

        private static @Nullable Long shareOf(@Nullable Long total, int count, int index) {
            if (total == null) {
                return null;
            }
            return index < 0 ? 0L : equalShare(total, count, index);
        }

        @Override
        public int compareTo(SharedCap other) {
            return toString().compareTo(other.toString());
        }
    }

    private record SharedLink(String name, String from, String to)
            implements SharedLimit, Comparable<SharedLink> {

        static SharedLink of(String name, Link link) {
            return new SharedLink(name, link.from(), link.to());
        }

        @Override
        public boolean sharedInsideZone() {
            return true;
        }

        @Override
        public boolean covers(Settings settings, String zone) {
            return link(settings) != null && zonesOf(settings).contains(zone);
        }

        @Override
        public void restrict(Settings settings, Site site, MinimumLimit limit) {
            Link link = link(settings);
            if (link == null) {
                return;
            }
            List<String> zones = zonesOf(settings);
            int zone = zones.indexOf(site.zone());
            List<String> services = settings.servicesIn(site.zone());
            int service = services.indexOf(site.service());
            if (zone < 0 || service < 0) {
                limit.restrict(0L, null);
                return;
            }
            limit.mApplies = true;
            long zoneShare = equalShare(link.bitsPerSecond(), zones.size(), zone);
            limit.restrict(equalShare(zoneShare, services.size(), service), null);
        }

        private @Nullable Link link(Settings settings) {
            Link link = settings.links().get(name);
            return link != null && of(name, link).equals(this) ? link : null;
        }

        private List<String> zonesOf(Settings settings) {
            Region region = settings.regions().get(from);
            return region == null ? List.of() : region.zones().stream().sorted().toList();
        }

        @Override
        public int compareTo(SharedLink other) {
            return toString().compareTo(other.toString());
        }
    }
}
