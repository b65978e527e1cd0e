package org.redwingladder.membership;

import java.util.List;

/**
 * Tells other availability zones which entry hosts a zone has.
 *
 * @param zone the availability zone
 * @param epoch the epoch of its roster
 * @param version orders the summaries of one epoch: 0 before the epoch is settled, then 1
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

    /** Returns what a peer compares before it asks for the whole summary. */
    public ZoneDigest digest() {
        return new ZoneDigest(epoch, version);
    }
}
