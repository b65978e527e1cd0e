package org.redwingladder.lookup;

import static org.assertj.core.api.Assertions.assertThat;
import static org.redwingladder.lookup.Deployments.SERVICE;
import static org.redwingladder.lookup.Deployments.settings;
import static org.redwingladder.lookup.Deployments.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;

class BlockAssignmentsTest {
    private static final int BLOCKS = 6000;

    /** Holds a table with all that it was made from. */
    private record Made(
            SiteIndex sites, BlockGroups groups, SiteRanking placement, BlockAssignments table) {
        static Made of(Settings settings) {
            SiteIndex sites = SiteIndex.of(settings);
            BlockGroups groups = BlockGroups.of(settings);
            SiteRanking placement = SiteRanking.of(settings, sites, SERVICE, groups.regions());
            return new Made(sites, groups, placement, BlockAssignments.build(placement, groups));
        }

        Made update(Settings settings) {
            SiteIndex next = sites.update(settings);
            BlockGroups nextGroups = BlockGroups.of(settings);
            SiteRanking nextPlacement = SiteRanking.of(settings, next, SERVICE, nextGroups.regions());
            return new Made(
                    next,
                    nextGroups,
                    nextPlacement,
                    table.update(placement, groups, nextPlacement, nextGroups));
        }

        String primary(int block) {
            return sites.site(table.primary(block)).zone();
        }

        String secondary(int block) {
            int number = table.secondary(block);
            return number == BlockAssignments.NONE ? "" : sites.site(number).zone();
        }

        Map<String, Integer> loads() {
            Map<String, Integer> loads = new TreeMap<>();
            for (int block = 0; block < BLOCKS; block++) {
                loads.merge(primary(block), 1, Integer::sum);
            }
            return loads;
        }

        /** Returns the blocks whose primary changed, by old and new zone. */
        Map<String, Integer> movesTo(Made other) {
            Map<String, Integer> moves = new TreeMap<>();
            for (int block = 0; block < BLOCKS; block++) {
                if (!primary(block).equals(other.primary(block))) {
                    moves.merge(primary(block) + ">" + other.primary(block), 1, Integer::sum);
                }
            }
            return moves;
        }
    }

    /** Guards against a table that differs from sorting all sites for each block in turn. */
    @Property(tries = 40, seed = "11")
    void agreesWithNaiveScan(@ForAll @Size(6) List<@IntRange(min = -1, max = 5) Integer> drawn) {
        int[] weights = drawn.stream().mapToInt(Integer::intValue).toArray();
        weights[0] = Math.max(1, weights[0]);
        Settings settings = settings(BLOCKS, weights(weights));
        Made made = Made.of(settings);
        NaiveScan naive = new NaiveScan(settings);

        for (int block = 0; block < BLOCKS; block++) {
            List<String> expected = naive.next(block);
            assertThat(made.primary(block)).isEqualTo(expected.get(0));
            assertThat(made.secondary(block)).isEqualTo(expected.get(1));
        }
    }

    /** Sorts all sites for each block and takes the first with room. */
    private static final class NaiveScan {
        private final Settings mSettings;
        private final Map<String, Integer> mLoads = new HashMap<>();

        NaiveScan(Settings settings) {
            mSettings = settings;
        }

        List<String> next(int block) {
            Map<String, Integer> weights = new TreeMap<>();
            mSettings
                    .services()
                    .get(SERVICE)
                    .zones()
                    .forEach((zone, w) -> weights.put(zone, w.weight()));
            weights.values().removeIf(w -> w == 0);
            int total = weights.values().stream().mapToInt(Integer::intValue).sum();
            String home = block < BLOCKS / 3 ? "a" : block < 2 * BLOCKS / 3 ? "b" : "c";
            List<String> order = new ArrayList<>(weights.keySet());
            order.sort(
                    Comparator.comparingDouble(
                                    (String z) -> mSettings.oneWayMillis(home, z.substring(0, 1)))
                            .thenComparingDouble(
                                    z ->
                                            -Math.log(StableHash.unit(StableHash.of(SERVICE + "@" + z), block))
                                                    / weights.get(z)));
            String primary = order.getFirst();
            for (String zone : order) {
                int bound = Math.ceilDiv(11 * BLOCKS * weights.get(zone), 10 * total);
                if (mLoads.getOrDefault(zone, 0) < bound) {
                    primary = zone;
                    break;
                }
            }
            mLoads.merge(primary, 1, Integer::sum);
            order.remove(primary);
            return List.of(primary, order.isEmpty() ? "" : order.getFirst());
        }
    }

    @Nested
    class Load {
        /** Guards against a site that gets more than a tenth above its share. */
        @Test
        void staysWithinTheBound() {
            // Two thirds of the blocks are nearest to sites that hold a third of the weight.
            Made made = Made.of(settings(BLOCKS, weights(4, 4, 1, 1, 1, 1)));

            made.loads()
                    .forEach(
                            (zone, load) -> {
                                int weight = zone.startsWith("a") ? 4 : 1;
                                assertThat(load).isLessThanOrEqualTo(550 * weight);
                            });
            assertThat(made.loads().values().stream().mapToInt(Integer::intValue).sum())
                    .isEqualTo(BLOCKS);
        }

        /** Guards against blocks sent to far regions while near sites have room. */
        @Test
        void prefersTheHomeRegion() {
            Made made = Made.of(settings(BLOCKS, weights(1, 1, 1, 1, 1, 1)));

            for (int block = 0; block < BLOCKS / 3; block++) {
                assertThat(made.primary(block)).startsWith("a");
                assertThat(made.secondary(block)).startsWith("a");
            }
        }
    }

    @Nested
    class Movement {
        private final Made mEven = Made.of(settings(BLOCKS, weights(1, 1, 1, 1, 1, 1)));

        /** Guards against a leaving site that moves other sites' blocks. */
        @Test
        void leavingSiteMovesOnlyItsOwnBlocks() {
            for (int leaving = 0; leaving < 6; leaving++) {
                int[] weights = {1, 1, 1, 1, 1, 1};
                weights[leaving] = leaving % 2 == 0 ? 0 : -1;
                Made next = mEven.update(settings(BLOCKS, weights(weights)));
                String zone = Deployments.ZONES.get(leaving);

                Map<String, Integer> moves = mEven.movesTo(next);
                assertThat(moves.keySet()).allMatch(move -> move.startsWith(zone + ">"));
                assertThat(moves.values().stream().mapToInt(Integer::intValue).sum())
                        .isEqualTo(mEven.loads().get(zone));
            }
        }

        /** Guards against a new site that moves blocks between the old ones. */
        @Test
        void newSiteOnlyAttracts() {
            Made five = Made.of(settings(BLOCKS, weights(1, 1, 1, 1, 1)));
            Made six = five.update(settings(BLOCKS, weights(1, 1, 1, 1, 1, 1)));

            // A lower share of the others pushes what exceeds their bound, to near sites.
            int attracted = 0;
            int other = 0;
            for (Map.Entry<String, Integer> move : five.movesTo(six).entrySet()) {
                if (move.getKey().endsWith(">c2")) {
                    attracted += move.getValue();
                } else {
                    other += move.getValue();
                }
            }
            assertThat(attracted).isBetween(600, 1100);
            assertThat(other).isLessThanOrEqualTo(BLOCKS / 20);
        }

        /** Guards against a settings change without effect on sites that moves blocks. */
        @Test
        void sameSitesMoveNothing() {
            Made again = mEven.update(settings(BLOCKS, weights(1, 1, 1, 1, 1, 1)));

            assertThat(mEven.movesTo(again)).isEmpty();
        }

        /** Guards against a removed site's number that is taken for a new site's. */
        @Test
        void newSiteNeverTakesTheNumberOfOneJustRemoved() {
            Made swapped = mEven.update(settings(BLOCKS, weights(-1, 1, 1, 1, 1, 1)));

            assertThat(swapped.sites().number(new Site(SERVICE, "a1"))).isEqualTo(-1);
            SiteIndex before = SiteIndex.of(settings(BLOCKS, weights(1)));
            SiteIndex after = before.update(settings(BLOCKS, weights(-1, 1)));
            assertThat(after.number(new Site(SERVICE, "a2"))).isNotZero();
        }
    }

    @Nested
    class Groups {
        /** Guards against a block outside the arrays when blocks are grouped. */
        @Test
        void coverEveryBlock() {
            Settings settings = settings(1001, weights(1, 1));
            for (int max : new int[] {1, 2, 7, 500, 501, 1000, 1001}) {
                BlockGroups groups = BlockGroups.of(settings, max);
                assertThat(groups.count()).isLessThanOrEqualTo(max);
                assertThat(1000 >> groups.shift()).isEqualTo(groups.count() - 1);
                int firstOfLast = groups.count() - 1 << groups.shift();
                assertThat(groups.home(groups.count() - 1))
                        .isEqualTo(firstOfLast < 333 ? 0 : firstOfLast < 667 ? 1 : 2);
            }
        }
    }
}
