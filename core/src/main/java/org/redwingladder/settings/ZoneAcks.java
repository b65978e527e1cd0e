package org.redwingladder.settings;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The settings version that each zone has acknowledged: the lowest version that it still serves by,
 * as read from the platform's table.
 *
 * <p>A zone without an entry has never served: a zone writes its entry, at the newest version,
 * before its first member is ready. This holds only for versions accepted before the read, so every
 * read records the version that was known when it began.
 *
 * @param asOf the version that was known before the entries were read
 * @param byZone the lowest version in use, by zone
 */
public record ZoneAcks(long asOf, SortedMap<String, Long> byZone) {

    public ZoneAcks {
        byZone = Collections.unmodifiableSortedMap(new TreeMap<>(byZone));
    }

    /** Returns acknowledgements with a copy of {@code byZone}. */
    public static ZoneAcks of(long asOf, Map<String, Long> byZone) {
        return new ZoneAcks(asOf, new TreeMap<>(byZone));
    }

    /**
     * Returns the maximum, by zone, of this and another read; acknowledged versions only increase.
     */
    public ZoneAcks merge(ZoneAcks other) {
        TreeMap<String, Long> merged = new TreeMap<>(byZone);
        other.byZone.forEach((zone, version) -> merged.merge(zone, version, Math::max));
        return new ZoneAcks(Math.max(asOf, other.asOf), merged);
    }
}
