package org.redwingladder.lookup;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.redwingladder.settings.Service;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;
import org.redwingladder.settings.SiteWeight;

/**
 * Ranks the sites of one service for a group of blocks: nearer regions first, and by weighted
 * rendezvous hashing within a region.
 */
final class SiteRanking {
    private final int[] mNumbers;
    private final long[] mSeeds;
    private final int[] mWeights;
    private final int[][][] mTiers;
    private final int[][] mRanks;
    private final long mTotalWeight;

    private SiteRanking(int[] numbers, long[] seeds, int[] weights, int[][][] tiers) {
        mNumbers = numbers;
        mSeeds = seeds;
        mWeights = weights;
        mTiers = tiers;
        mTotalWeight = Arrays.stream(weights).asLongStream().sum();
        mRanks = new int[tiers.length][numbers.length];
        for (int home = 0; home < tiers.length; home++) {
            for (int rank = 0; rank < tiers[home].length; rank++) {
                for (int site : tiers[home][rank]) {
                    mRanks[home][site] = rank;
                }
            }
        }
    }

    static SiteRanking of(Settings settings, SiteIndex sites, String name, List<String> regions) {
        Service service = settings.services().get(name);
        if (service == null) {
            throw new IllegalArgumentException("unknown service " + name);
        }
        int count = service.zones().size();
        int[] numbers = new int[count];
        long[] seeds = new long[count];
        int[] weights = new int[count];
        String[] regionOf = new String[count];
        int i = 0;
        for (Map.Entry<String, SiteWeight> zone : service.zones().entrySet()) {
            numbers[i] = sites.number(new Site(name, zone.getKey()));
            seeds[i] = StableHash.of(name + "@" + zone.getKey());
            weights[i] = zone.getValue().weight();
            regionOf[i] = settings.regionOf(zone.getKey());
            i++;
        }
        int[][][] tiers = new int[regions.size()][][];
        for (int home = 0; home < tiers.length; home++) {
            tiers[home] = tiers(settings, regions, home, regionOf);
        }
        return new SiteRanking(numbers, seeds, weights, tiers);
    }

    /** Returns the sites by region: the home region first, then by distance and name. */
    private static int[][] tiers(
            Settings settings, List<String> regions, int home, String[] regionOf) {
        String from = regions.get(home);
        List<String> order = new ArrayList<>(regions);
        order.sort(
                Comparator.comparing((String r) -> !r.equals(from))
                        .thenComparingDouble(r -> settings.oneWayMillis(from, r))
                        .thenComparing(Comparator.naturalOrder()));
        List<int[]> tiers = new ArrayList<>();
        for (String region : order) {
            int[] members = new int[regionOf.length];
            int count = 0;
            for (int site = 0; site < regionOf.length; site++) {
                if (region.equals(regionOf[site])) {
                    members[count++] = site;
                }
            }
            if (count > 0) {
                tiers.add(Arrays.copyOf(members, count));
            }
        }
        return tiers.toArray(new int[0][]);
    }

    int size() {
        return mNumbers.length;
    }

    int number(int site) {
        return mNumbers[site];
    }

    int weight(int site) {
        return mWeights[site];
    }

    int[][] tiers(int home) {
        return mTiers[home];
    }

    int rank(int home, int site) {
        return mRanks[home][site];
    }

    /** Returns the most groups of which {@code site} may be primary: 10% above its share. */
    int maxGroups(int site, int groups) {
        if (mTotalWeight == 0) {
            return 0;
        }
        long scaledWeight = 11L * groups * mWeights[site];
        return Math.toIntExact(Math.ceilDiv(scaledWeight, 10 * mTotalWeight));
    }

    /** Returns the score of {@code site} for {@code group}; the highest is preferred. */
    double score(int site, int group) {
        if (mWeights[site] == 0) {
            return Double.NEGATIVE_INFINITY;
        }
        // StrictMath gives the same result on all hosts, whether interpreted or compiled.
        return StrictMath.log(StableHash.unit(mSeeds[site], group)) / mWeights[site];
    }

    /** Returns whether {@code group} prefers site {@code a} to site {@code b}. */
    boolean prefers(int home, int group, int a, int b) {
        int rankA = mRanks[home][a];
        int rankB = mRanks[home][b];
        return rankA != rankB ? rankA < rankB : score(a, group) > score(b, group);
    }

    boolean isSameAs(SiteRanking other) {
        return Arrays.equals(mNumbers, other.mNumbers)
                && Arrays.equals(mSeeds, other.mSeeds)
                && Arrays.equals(mWeights, other.mWeights)
                && Arrays.deepEquals(mTiers, other.mTiers);
    }
}
