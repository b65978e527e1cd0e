package org.redwingladder.lookup;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.EntryHost;

/**
 * Spreads client blocks over the serving entry hosts of one zone.
 *
 * <p>Blocks fall into slots, each with the two hosts of the highest rendezvous scores, so that a
 * decision reads two array elements however many hosts the zone has, and a host that leaves moves
 * only its own slots.
 */
final class ZoneHostTable {
    // About 40 slots for each host of a zone of 96 keep the hosts' shares within some 15%.
    private static final int SLOTS = 4096;

    private final List<EntryHost> mHosts;
    private final EntryHost[] mFirst;
    private final @Nullable EntryHost[] mSecond;

    private ZoneHostTable(List<EntryHost> hosts, EntryHost[] first, @Nullable EntryHost[] second) {
        mHosts = hosts;
        mFirst = first;
        mSecond = second;
    }

    /** Returns the table of {@code hosts}, of which there is at least one. */
    static ZoneHostTable of(List<EntryHost> hosts) {
        long[] seeds = hosts.stream().mapToLong(h -> StableHash.of(h.host())).toArray();
        EntryHost[] first = new EntryHost[SLOTS];
        @Nullable EntryHost[] second = new EntryHost[SLOTS];
        for (int slot = 0; slot < SLOTS; slot++) {
            int best = -1;
            int next = -1;
            double bestScore = -1;
            double nextScore = -1;
            for (int i = 0; i < seeds.length; i++) {
                double score = StableHash.unit(seeds[i], slot);
                if (score > bestScore) {
                    next = best;
                    nextScore = bestScore;
                    best = i;
                    bestScore = score;
                } else if (score > nextScore) {
                    next = i;
                    nextScore = score;
                }
            }
            first[slot] = hosts.get(best);
            second[slot] = next < 0 ? null : hosts.get(next);
        }
        return new ZoneHostTable(List.copyOf(hosts), first, second);
    }

    /** Returns the slot of {@code block}. */
    static int slot(int block) {
        return (int) StableHash.mix(0x9e3779b97f4a7c15L * (block + 1L)) & (SLOTS - 1);
    }

    EntryHost first(int slot) {
        return mFirst[slot];
    }

    @Nullable EntryHost second(int slot) {
        return mSecond[slot];
    }

    List<EntryHost> hosts() {
        return mHosts;
    }
}
