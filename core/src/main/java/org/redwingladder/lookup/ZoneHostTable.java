package org.redwingladder.lookup;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.EntryHost;

/**
 * Distributes client blocks over the serving entry hosts of one zone.
 *
 * <p>Blocks hash to slots, and each slot has the two hosts with the highest rendezvous scores. So a
 * look-up reads two array elements regardless of the number of hosts, and the removal of a host
 * moves only its own slots.
 */
final class ZoneHostTable {
    // About 40 slots per host in a zone of 96 hosts keep the hosts' shares within some 15%.
    private static final int SLOTS = 4096;

    private final List<EntryHost> mHosts;
    private final EntryHost[] mFirst;
    private final @Nullable EntryHost[] mSecond;

    private ZoneHostTable(List<EntryHost> hosts, EntryHost[] first, @Nullable EntryHost[] second) {
        mHosts = hosts;
        mFirst = first;
        mSecond = second;
    }

    /** Returns the table of {@code hosts}, which must not be empty. */
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
