package org.redwingladder.lookup;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.redwingladder.settings.BlockRange;
import org.redwingladder.settings.Settings;

/**
 * Partitions the client blocks into groups of adjacent blocks, each with a home region.
 *
 * <p>Each service has its own block assignments, so at 2.2 million blocks and 14 services an entry
 * per block would take 123 MB. Groups whose size is a power of two limit the assignments to 524,288
 * entries. The group size depends only on the number of blocks, so that no other change moves
 * blocks. A group that spans the end of a range has the home region of its first block.
 */
final class BlockGroups {
    private static final int MAX_GROUPS = 1 << 19;

    private final int mShift;
    private final short[] mHomeRegions;
    private final List<String> mRegions;

    private BlockGroups(int shift, short[] homeRegions, List<String> regions) {
        mShift = shift;
        mHomeRegions = homeRegions;
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
        short[] homeRegions = new short[((settings.blockCount() - 1) >> shift) + 1];
        long size = 1L << shift;
        for (BlockRange range : settings.deployment().blocks().values()) {
            long first = (range.first() + size - 1) >> shift;
            long end = Math.min(homeRegions.length, (range.last() >> shift) + 1L);
            if (first < end) {
                Arrays.fill(
                        homeRegions,
                        (int) first,
                        (int) end,
                        (short) regions.indexOf(range.region()));
            }
        }
        return new BlockGroups(shift, homeRegions, regions);
    }

    int count() {
        return mHomeRegions.length;
    }

    int shift() {
        return mShift;
    }

    int home(int group) {
        return mHomeRegions[group];
    }

    String homeName(int group) {
        return mRegions.get(mHomeRegions[group]);
    }

    List<String> regions() {
        return mRegions;
    }

    boolean isSameAs(BlockGroups other) {
        return mShift == other.mShift
                && mRegions.equals(other.mRegions)
                && Arrays.equals(mHomeRegions, other.mHomeRegions);
    }

    long bytes() {
        return 2L * mHomeRegions.length;
    }
}
