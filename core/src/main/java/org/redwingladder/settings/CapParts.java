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
 * Holds the parts of caps and links that one site may use.
 *
 * <p>A cap is split in equal parts over the service's zones inside its {@code to}, remainders to
 * the first zones in name order; a link is split over the zones of its sending region and then over
 * the services of the zone. The part of a version is usable only when no sharing zone still serves
 * by an older version, so a site uses the minimum over all versions that may be in use.
 *
 * @param caps the parts of caps
 * @param links the parts of links out of the site's region
 */
public record CapParts(List<CapPart> caps, List<LinkPart> links) {

    /**
     * States a site's part of a cap.
     *
     * @param cap the cap's name
     * @param from the zone, region or {@code any} whose requests count
     * @param requestsPerSecond the highest rate, or null if the rate is not capped
     * @param inFlight the most requests in flight, or null if they are not capped
     */
    public record CapPart(
            String cap,
            String from,
            @Nullable Long requestsPerSecond,
            @Nullable Integer inFlight) {}

    /**
     * States a site's part of a link.
     *
     * @param link the link's name
     * @param to the receiving region
     * @param bitsPerSecond the rate
     */
    public record LinkPart(String link, String to, long bitsPerSecond) {}

    /** Copies the lists. */
    public CapParts {
        caps = List.copyOf(caps);
        links = List.copyOf(links);
    }

    /** Returns the parts of {@code site} in one settings version. */
    public static CapParts of(Settings settings, Site site) {
        NavigableMap<Long, Settings> one = new TreeMap<>(Map.of(1L, settings));
        return of(one, Acks.of(1, Map.of()), site);
    }

    /**
     * Returns the parts that {@code site} may use while other zones may still serve by an older
     * version.
     *
     * <p>A version that is not known here but may be in use by a sharing zone gives a part of 0.
     *
     * @param versions the known settings, by version; the last one is in force here, and the others
     *     stand for all versions up to the next
     * @param acks the lowest version that each zone still serves by
     * @param site the site
     */
    public static CapParts of(NavigableMap<Long, Settings> versions, Acks acks, Site site) {
        long own = versions.lastKey();
        long oldest = Math.min(own, acks.asOf());
        for (long version : acks.byZone().values()) {
            oldest = Math.min(oldest, version);
        }
        SortedSet<CapShare> capShares = new TreeSet<>();
        SortedSet<LinkShare> linkShares = new TreeSet<>();
        for (Settings settings : since(versions, oldest)) {
            settings.caps()
                    .forEach(
                            (name, cap) -> {
                                if (cap.service().equals(site.service())) {
                                    capShares.add(CapShare.of(name, cap));
                                }
                            });
            settings.links().forEach((name, link) -> linkShares.add(LinkShare.of(name, link)));
        }
        List<CapPart> caps = new ArrayList<>();
        for (CapShare share : capShares) {
            Limit limit = minimum(versions, acks, share, site);
            if (limit.mCovered) {
                Long inFlight = limit.mSecond;
                caps.add(
                        new CapPart(
                                share.name(),
                                share.from(),
                                limit.mFirst,
                                inFlight == null ? null : inFlight.intValue()));
            }
        }
        List<LinkPart> links = new ArrayList<>();
        for (LinkShare share : linkShares) {
            Limit limit = minimum(versions, acks, share, site);
            if (limit.mCovered && limit.mFirst != null) {
                links.add(new LinkPart(share.name(), share.to(), limit.mFirst));
            }
        }
        return new CapParts(caps, links);
    }

    /** Returns part {@code index} of {@code total} split into {@code count} equal parts. */
    static long part(long total, int count, int index) {
        return total / count + (index < total % count ? 1 : 0);
    }

    private static Limit minimum(
            NavigableMap<Long, Settings> versions, Acks acks, Share share, Site site) {
        long own = versions.lastKey();
        long lowest = Math.min(own, acks.asOf());
        for (Map.Entry<String, Long> ack : acks.byZone().entrySet()) {
            // A site has one owner, which is this one, so its own zone matters only where several
            // services of the zone share.
            boolean counts = share.sharedInsideZone() || !ack.getKey().equals(site.zone());
            if (counts && ack.getValue() < lowest && shares(versions, share, ack)) {
                lowest = ack.getValue();
            }
        }
        Limit limit = new Limit();
        for (Settings settings : since(versions, lowest)) {
            share.restrict(settings, site, limit);
        }
        if (lowest < versions.firstKey()) {
            limit.restrict(0L, 0L);
        }
        return limit;
    }

    /** Returns the settings in force from {@code version} on. */
    private static Iterable<Settings> since(NavigableMap<Long, Settings> versions, long version) {
        Long first = versions.floorKey(version);
        return (first == null ? versions : versions.tailMap(first, true)).values();
    }

    /** Returns whether every site has the same parts by both settings. */
    static boolean sameInputs(Settings a, Settings b) {
        if (!a.regions().equals(b.regions()) || !a.links().equals(b.links())) {
            return false;
        }
        return a.teams().equals(b.teams())
                || (a.caps().equals(b.caps()) && a.sites().equals(b.sites()));
    }

    private static boolean shares(
            NavigableMap<Long, Settings> versions, Share share, Map.Entry<String, Long> ack) {
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

    /** Collects the minimum over versions; null means that nothing restricts the value. */
    static final class Limit {
        boolean mCovered;
        @Nullable Long mFirst;
        @Nullable Long mSecond;

        void restrict(@Nullable Long first, @Nullable Long second) {
            mFirst = min(mFirst, first);
            mSecond = min(mSecond, second);
        }

        private static @Nullable Long min(@Nullable Long a, @Nullable Long b) {
            if (a == null || b == null) {
                return a == null ? b : a;
            }
            return Math.min(a, b);
        }
    }

    /** Is what several sites share. Its identity includes its scope: another scope is another. */
    private sealed interface Share {
        /** Returns whether the services of one zone share it. */
        boolean sharedInsideZone();

        /** Returns whether some site of {@code zone} has a part in {@code settings}. */
        boolean covers(Settings settings, String zone);

        /** Restricts {@code limit} to the part of {@code site} in {@code settings}. */
        void restrict(Settings settings, Site site, Limit limit);
    }

    private record CapShare(String name, String service, String from, String to)
            implements Share, Comparable<CapShare> {

        static CapShare of(String name, Cap cap) {
            return new CapShare(name, cap.service(), cap.from(), cap.to());
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
        public void restrict(Settings settings, Site site, Limit limit) {
            Cap cap = cap(settings);
            if (cap == null) {
                return;
            }
            List<String> zones = zonesOf(settings);
            int index = zones.indexOf(site.zone());
            limit.mCovered |= index >= 0;
            Integer inFlight = cap.inFlight();
            limit.restrict(
                    partOf(cap.requestsPerSecond(), zones.size(), index),
                    partOf(inFlight == null ? null : inFlight.longValue(), zones.size(), index));
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

        private static @Nullable Long partOf(@Nullable Long total, int count, int index) {
            if (total == null) {
                return null;
            }
            return index < 0 ? 0L : part(total, count, index);
        }

        @Override
        public int compareTo(CapShare other) {
            return toString().compareTo(other.toString());
        }
    }

    private record LinkShare(String name, String from, String to)
            implements Share, Comparable<LinkShare> {

        static LinkShare of(String name, Link link) {
            return new LinkShare(name, link.from(), link.to());
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
        public void restrict(Settings settings, Site site, Limit limit) {
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
            limit.mCovered = true;
            long ofZone = part(link.bitsPerSecond(), zones.size(), zone);
            limit.restrict(part(ofZone, services.size(), service), null);
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
        public int compareTo(LinkShare other) {
            return toString().compareTo(other.toString());
        }
    }
}
