package org.redwingladder.lookup;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.redwingladder.settings.BlockRange;
import org.redwingladder.settings.Settings;

/**
 * Puts neighbouring client blocks into groups, each with a home region.
 *
 * <p>Every service has a block table, so at 2.2 million blocks and 14 services one entry for each
 * block would take 123 MB. Groups of a power of two keep a table at or below 524,288 entries; the
 * size depends on the number of blocks alone, so that no other change moves blocks. A group that
 * crosses the end of a range has the home of its first block.
 */
final class BlockGroups {
    private static final int MAX_GROUPS = 1 << 19;

    private final int mShift;
    private final short[] mHomes;
    private final List<String> mRegions;

    private BlockGroups(int shift, short[] homes, List<String> regions) {
        mShift = shift;
        mHomes = homes;
        mRegions = regions;
    }

    static BlockGroups of(Settings settings) {
        return of(settings, MAX_GROUPS);
    }

    static BlockGroups of(Settings settings, int maxGroups) {
        int shift = 0;
        while ((settings.blockCount() - 1L >> shift) + 1 > maxGroups) {
            shift++;
        }
        List<String> regions = new ArrayList<>(settings.regions().keySet());
        short[] homes = new short[((settings.blockCount() - 1) >> shift) + 1];
        long size = 1L << shift;
        for (BlockRange range : settings.deployment().blocks().values()) {
            long first = (range.first() + size - 1) >> shift;
            long end = Math.min(homes.length, (range.last() >> shift) + 1L);
            if (first < end) {
                Arrays.fill(homes, (int) first, (int) end, (short) regions.indexOf(range.region()));
            }
        }
        return new BlockGroups(shift, homes, regions);
    }

    int count() {
        return mHomes.length;
    }

    int shift() {
        return mShift;
    }

    int home(int group) {
        return mHomes[group];
    }

    String homeName(int group) {
        return mRegions.get(mHomes[group]);
    }

    List<String> regions() {
        return mRegions;
    }

    boolean isSame(BlockGroups other) {
        return mShift == other.mShift
                && mRegions.equals(other.mRegions)
                && Arrays.equals(mHomes, other.mHomes);
    }

    long bytes() {
        return 2L * mHomes.length;
    }
}
