package org.redwingladder.lookup;

import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Assigns each group of client blocks a primary and a secondary site of one service.
 *
 * <p>Weighted rendezvous hashing with bounded loads: a group prefers nearer regions and, within a
 * region, the site with the highest score. A site is primary of at most 10% more groups than its
 * share of the weight; a group whose preferred site is full is assigned the next one. The secondary
 * is the next preferred site, without a bound. Immutable; {@link #update} returns new assignments
 * that move only the groups of a site that is removed or loses weight, the groups that a new or
 * heavier site attracts, and the groups above a bound.
 */
public final class BlockAssignments {
    /** The number that stands for no site. */
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

    /** Returns the size of the assignments in bytes. */
    public long bytes() {
        return 2L * (mPrimary.length + mSecondary.length);
    }

    /** Returns initial assignments. */
    static BlockAssignments build(SiteRanking ranking, BlockGroups groups) {
        short[] none = new short[groups.count()];
        Arrays.fill(none, (short) NONE);
        return new Builder(ranking, null, groups, groups).build(none);
    }

    /**
     * Returns assignments for {@code ranking} that move as few groups as possible.
     *
     * @param oldRanking the ranking of these assignments
     * @param oldGroups the groups of these assignments
     */
    BlockAssignments update(
            SiteRanking oldRanking,
            BlockGroups oldGroups,
            SiteRanking ranking,
            BlockGroups groups) {
        if (groups.shift() != mShift || groups.count() != mPrimary.length) {
            return build(ranking, groups);
        }
        return new Builder(ranking, oldRanking, groups, oldGroups).build(mPrimary);
    }

    private static final class Builder {
        private static final int MOVE_LATER = -2;

        private final SiteRanking mRanking;
        private final BlockGroups mGroups;
        private final BlockGroups mOldGroups;
        private final int[] mMaxGroups;
        private final int[] mGroupCounts;
        private final int[] mSiteByNumber;
        private final boolean[] mWeightDecreased;
        private final int[] mWeightIncreased;

        Builder(
                SiteRanking ranking,
                @Nullable SiteRanking oldRanking,
                BlockGroups groups,
                BlockGroups oldGroups) {
            mRanking = ranking;
            mGroups = groups;
            mOldGroups = oldGroups;
            int size = ranking.size();
            mMaxGroups = new int[size];
            mGroupCounts = new int[size];
            mWeightDecreased = new boolean[size];
            int[] increased = new int[size];
            int increasedCount = 0;
            int numberLimit = 0;
            for (int site = 0; site < size; site++) {
                mMaxGroups[site] = ranking.maxGroups(site, groups.count());
                numberLimit = Math.max(numberLimit, ranking.number(site) + 1);
                int oldWeight = oldRanking == null ? 0 : weightOf(oldRanking, ranking.number(site));
                mWeightDecreased[site] = ranking.weight(site) < oldWeight;
                if (oldRanking != null && ranking.weight(site) > oldWeight) {
                    increased[increasedCount++] = site;
                }
            }
            mWeightIncreased = Arrays.copyOf(increased, increasedCount);
            mSiteByNumber = new int[numberLimit];
            Arrays.fill(mSiteByNumber, NONE);
            for (int site = 0; site < size; site++) {
                mSiteByNumber[ranking.number(site)] = site;
            }
        }

        private static int weightOf(SiteRanking ranking, int number) {
            for (int site = 0; site < ranking.size(); site++) {
                if (ranking.number(site) == number) {
                    return ranking.weight(site);
                }
            }
            return 0;
        }

        BlockAssignments build(short[] previous) {
            int count = mGroups.count();
            int[] assigned = new int[count];
            for (int group = 0; group < count; group++) {
                assigned[group] = keepOrMove(group, siteOf(previous[group]));
            }
            for (int group = 0; group < count; group++) {
                if (assigned[group] == MOVE_LATER) {
                    assigned[group] = moveToIncreased(group, siteOf(previous[group]));
                }
            }
            for (int group = 0; group < count; group++) {
                if (assigned[group] == NONE) {
                    assigned[group] = assign(group);
                }
            }
            short[] primary = new short[count];
            short[] secondary = new short[count];
            for (int group = 0; group < count; group++) {
                primary[group] = number(assigned[group]);
                secondary[group] = number(preferred(group, assigned[group], false));
            }
            return new BlockAssignments(mGroups.shift(), primary, secondary);
        }

        private int siteOf(int number) {
            return number >= 0 && number < mSiteByNumber.length ? mSiteByNumber[number] : NONE;
        }

        private short number(int site) {
            return (short) (site == NONE ? NONE : mRanking.number(site));
        }

        /**
         * Returns the site that {@code group} keeps, {@link #MOVE_LATER} if it prefers a site whose
         * weight has increased, or {@link #NONE} if it is to be assigned anew.
         */
        private int keepOrMove(int group, int site) {
            if (site == NONE
                    || mRanking.weight(site) == 0
                    || !mGroups.homeName(group).equals(mOldGroups.homeName(group))) {
                return NONE;
            }
            int home = mGroups.home(group);
            if (mWeightDecreased[site] && preferred(group, NONE, false) != site) {
                return NONE;
            }
            for (int increased : mWeightIncreased) {
                if (increased != site && mRanking.prefers(home, group, increased, site)) {
                    return MOVE_LATER;
                }
            }
            return tryAssign(site) ? site : NONE;
        }

        /** Moves {@code group} to the preferred new or heavier site below its bound, if any. */
        private int moveToIncreased(int group, int site) {
            int home = mGroups.home(group);
            int best = site;
            for (int increased : mWeightIncreased) {
                if (mGroupCounts[increased] < mMaxGroups[increased]
                        && mRanking.prefers(home, group, increased, best)) {
                    best = increased;
                }
            }
            return tryAssign(best) ? best : NONE;
        }

        private int assign(int group) {
            int site = preferred(group, NONE, true);
            if (site != NONE) {
                tryAssign(site);
            }
            return site;
        }

        private boolean tryAssign(int site) {
            if (mGroupCounts[site] >= mMaxGroups[site]) {
                return false;
            }
            mGroupCounts[site]++;
            return true;
        }

        /** Returns the preferred site, optionally of those below their bound, or {@link #NONE}. */
        private int preferred(int group, int excluded, boolean belowBound) {
            for (int[] tier : mRanking.tiers(mGroups.home(group))) {
                int best = NONE;
                double bestScore = Double.NEGATIVE_INFINITY;
                for (int site : tier) {
                    if (site == excluded
                            || (belowBound && mGroupCounts[site] >= mMaxGroups[site])) {
                        continue;
                    }
                    double score = mRanking.score(site, group);
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
