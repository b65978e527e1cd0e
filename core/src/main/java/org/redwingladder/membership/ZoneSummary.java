package org.redwingladder.membership;

import java.util.List;

/**
 * The entry hosts of an availability zone, as replicated to other zones.
 *
 * @param zone the availability zone
 * @param epoch the epoch of its roster
 * @param version the version within the epoch: 0 until the epoch is settled, then 1
 * @param members the members in roster order
 */
public record ZoneSummary(String zone, long epoch, long version, List<Member> members) {

    public ZoneSummary {
        members = List.copyOf(members);
    }

    /** Returns the summary of {@code roster}. */
    public static ZoneSummary of(Roster roster) {
        return new ZoneSummary(
                roster.zone(), roster.epoch(), roster.settled() ? 1 : 0, roster.members());
    }

    /** Returns the digest, which a peer compares before it requests the whole summary. */
    public ZoneDigest digest() {
        return new ZoneDigest(epoch, version);
    }
}
