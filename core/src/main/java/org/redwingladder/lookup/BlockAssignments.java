package org.redwingladder.lookup;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Maps each group of client blocks to a primary and a secondary site of one service.
 *
 * <p>A group prefers near regions and, inside a region, the highest weighted rendezvous score. A
 * site is primary of at most a tenth more groups than its weight's share; a group that finds a site
 * full takes the next one. The secondary is the next preferred site, without a bound. A table never
 * changes; {@link #update} makes a new one that moves only the groups of a site that leaves or
 * loses weight, the groups that a new or heavier site attracts, and what exceeds a bound.
 */
public final class BlockAssignments {
    /** Stands for no site. */
    public static final int NONE = -1;

    private final int mShift;
    private final short[] mPrimary;
    private final short[] mSecondary;

    private BlockAssignments(int shift, short[] primary, short[] secondary) {
        mShift = shift;
        mPrimary = primary;
        mSecondary = secondary;
    }

    /** Returns the number of the primary site of {@code block}, or {@link #NONE}. */
    public int primary(int block) {
        return mPrimary[block >> mShift];
    }

    /** Returns the number of the secondary site of {@code block}, or {@link #NONE}. */
    public int secondary(int block) {
        return mSecondary[block >> mShift];
    }

    /** Returns the bytes that the assignments take. */
    public long bytes() {
        return 2L * (mPrimary.length + mSecondary.length);
    }

    /** Returns a table that follows no other. */
    static BlockAssignments build(SiteRanking placement, BlockGroups groups) {
        short[] none = new short[groups.count()];
        Arrays.fill(none, (short) NONE);
        return new Builder(placement, null, groups, groups).build(none);
    }

    /**
     * Returns the table of {@code placement} that moves as few groups of this one as it can.
     *
     * @param old the placement of this table
     * @param oldGroups the groups of this table
     */
    BlockAssignments update(
            SiteRanking old, BlockGroups oldGroups, SiteRanking placement, BlockGroups groups) {
        if (groups.shift() != mShift || groups.count() != mPrimary.length) {
            return build(placement, groups);
        }
        return new Builder(placement, old, groups, oldGroups).build(mPrimary);
    }

    private static final class Builder {
        private static final int RAISED_LATER = -2;

        private final SiteRanking mPlacement;
        private final BlockGroups mGroups;
        private final BlockGroups mOldGroups;
        private final int[] mBounds;
        private final int[] mCounts;
        private final int[] mLocalByNumber;
        private final boolean[] mLowered;
        private final int[] mRaised;

        Builder(
                SiteRanking placement,
                @Nullable SiteRanking old,
                BlockGroups groups,
                BlockGroups oldGroups) {
            mPlacement = placement;
            mGroups = groups;
            mOldGroups = oldGroups;
            int size = placement.size();
            mBounds = new int[size];
            mCounts = new int[size];
            mLowered = new boolean[size];
            int[] raised = new int[size];
            int raisedCount = 0;
            int limit = 0;
            for (int site = 0; site < size; site++) {
                mBounds[site] = placement.bound(site, groups.count());
                limit = Math.max(limit, placement.number(site) + 1);
                int before = old == null ? 0 : weightOf(old, placement.number(site));
                mLowered[site] = placement.weight(site) < before;
                if (old != null && placement.weight(site) > before) {
                    raised[raisedCount++] = site;
                }
            }
            mRaised = Arrays.copyOf(raised, raisedCount);
            mLocalByNumber = new int[limit];
            Arrays.fill(mLocalByNumber, NONE);
            for (int site = 0; site < size; site++) {
                mLocalByNumber[placement.number(site)] = site;
            }
        }

        private static int weightOf(SiteRanking placement, int number) {
            for (int site = 0; site < placement.size(); site++) {
                if (placement.number(site) == number) {
                    return placement.weight(site);
                }
            }
            return 0;
        }

        BlockAssignments build(short[] previous) {
            int count = mGroups.count();
            int[] chosen = new int[count];
            for (int group = 0; group < count; group++) {
                chosen[group] = keep(group, local(previous[group]));
            }
            for (int group = 0; group < count; group++) {
                if (chosen[group] == RAISED_LATER) {
                    chosen[group] = move(group, local(previous[group]));
                }
            }
            for (int group = 0; group < count; group++) {
                if (chosen[group] == NONE) {
                    chosen[group] = assign(group);
                }
            }
            short[] primary = new short[count];
            short[] secondary = new short[count];
            for (int group = 0; group < count; group++) {
                primary[group] = number(chosen[group]);
                secondary[group] = number(best(group, chosen[group], false));
            }
            return new BlockAssignments(mGroups.shift(), primary, secondary);
        }

        private int local(int number) {
            return number >= 0 && number < mLocalByNumber.length ? mLocalByNumber[number] : NONE;
        }

        private short number(int site) {
            return (short) (site == NONE ? NONE : mPlacement.number(site));
        }

        /** Returns the site that {@code group} keeps, or what else is to become of it. */
        private int keep(int group, int site) {
            if (site == NONE
                    || mPlacement.weight(site) == 0
                    || !mGroups.homeName(group).equals(mOldGroups.homeName(group))) {
                return NONE;
            }
            int home = mGroups.home(group);
            if (mLowered[site] && best(group, NONE, false) != site) {
                return NONE;
            }
            for (int raised : mRaised) {
                if (raised != site && mPlacement.prefers(home, group, raised, site)) {
                    return RAISED_LATER;
                }
            }
            return take(site) ? site : NONE;
        }

        /** Moves {@code group} to the best new or heavier site that has room, or lets it stay. */
        private int move(int group, int site) {
            int home = mGroups.home(group);
            int best = site;
            for (int raised : mRaised) {
                if (mCounts[raised] < mBounds[raised]
                        && mPlacement.prefers(home, group, raised, best)) {
                    best = raised;
                }
            }
            return take(best) ? best : NONE;
        }

        private int assign(int group) {
            int site = best(group, NONE, true);
            if (site != NONE) {
                take(site);
            }
            return site;
        }

        private boolean take(int site) {
            if (mCounts[site] >= mBounds[site]) {
                return false;
            }
            mCounts[site]++;
            return true;
        }

        /** Returns the preferred site other than {@code except}, if asked for one with room. */
        private int best(int group, int except, boolean withRoom) {
            for (int[] tier : mPlacement.tiers(mGroups.home(group))) {
                int best = NONE;
                double bestScore = Double.NEGATIVE_INFINITY;
                for (int site : tier) {
                    if (site == except || (withRoom && mCounts[site] >= mBounds[site])) {
                        continue;
                    }
                    double score = mPlacement.score(site, group);
                    if (score > bestScore) {
                        best = site;
                        bestScore = score;
                    }
                }
                if (best != NONE) {
                    return best;
                }
            }
            return NONE;
        }
    }
}
