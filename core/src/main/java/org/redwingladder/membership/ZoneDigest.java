package org.redwingladder.membership;

import java.util.Comparator;

/**
 * Orders the summaries of one availability zone.
 *
 * @param epoch the epoch of the zone's roster
 * @param summaryVersion orders the summaries of one epoch
 */
public record ZoneDigest(long epoch, long summaryVersion) implements Comparable<ZoneDigest> {
    /** Stands for a zone that is not known. */
    public static final ZoneDigest NONE = new ZoneDigest(0, 0);

    private static final Comparator<ZoneDigest> ORDER =
            Comparator.comparingLong(ZoneDigest::epoch)
                    .thenComparingLong(ZoneDigest::summaryVersion);

    @Override
    public int compareTo(ZoneDigest other) {
        return ORDER.compare(this, other);
    }
}
