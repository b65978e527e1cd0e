package org.redwingladder.settings;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import org.jspecify.annotations.Nullable;

/**
 * Holds the parts of caps and links that one site may use.
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

    public CapParts {
        caps = List.copyOf(caps);
        links = List.copyOf(links);
    }

    /** Returns the parts of {@code site} in one settings version. */
    public static CapParts of(Settings settings, Site site) {
        return new CapParts(List.of(), List.of());
    }

    /**
     * Returns the parts that {@code site} may use while other zones may still serve by an older
     * version.
     *
     * @param versions the known settings, by version; the last one is in force here
     * @param acks the lowest version that each zone still serves by, by zone
     * @param site the site
     */
    public static CapParts of(
            NavigableMap<Long, Settings> versions, Map<String, Long> acks, Site site) {
        return of(versions.lastEntry().getValue(), site);
    }
}
