package org.redwingladder.membership;

import java.util.Comparator;

/**
 * The version of an availability zone's summary, exchanged by anti-entropy.
 *
 * @param epoch the epoch of the zone's roster
 * @param summaryVersion the version of the summary within the epoch
 */
public record ZoneDigest(long epoch, long summaryVersion) implements Comparable<ZoneDigest> {
    /** The digest of an unknown zone, older than any other. */
    public static final ZoneDigest NONE = new ZoneDigest(0, 0);

    private static final Comparator<ZoneDigest> ORDER =
            Comparator.comparingLong(ZoneDigest::epoch)
                    .thenComparingLong(ZoneDigest::summaryVersion);

    @Override
    public int compareTo(ZoneDigest other) {
        return ORDER.compare(this, other);
    }
}
