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

    /** Block assignments with the inputs from which they were built. */
    private record Assigned(
            SiteIndex sites,
            BlockGroups groups,
            SiteRanking ranking,
            BlockAssignments assignments) {
        static Assigned of(Settings settings) {
            SiteIndex sites = SiteIndex.of(settings);
            BlockGroups groups = BlockGroups.of(settings);
            SiteRanking ranking = SiteRanking.of(settings, sites, SERVICE, groups.regions());
            return new Assigned(sites, groups, ranking, BlockAssignments.build(ranking, groups));
        }

        Assigned update(Settings settings) {
            SiteIndex next = sites.update(settings);
            BlockGroups nextGroups = BlockGroups.of(settings);
            SiteRanking nextRanking = SiteRanking.of(settings, next, SERVICE, nextGroups.regions());
            return new Assigned(
                    next,
                    nextGroups,
                    nextRanking,
                    assignments.update(ranking, groups, nextRanking, nextGroups));
        }

        String primary(int block) {
            return sites.site(assignments.primary(block)).zone();
        }

        String secondary(int block) {
            int number = assignments.secondary(block);
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
        Map<String, Integer> movesTo(Assigned other) {
            Map<String, Integer> moves = new TreeMap<>();
            for (int block = 0; block < BLOCKS; block++) {
                if (!primary(block).equals(other.primary(block))) {
                    moves.merge(primary(block) + ">" + other.primary(block), 1, Integer::sum);
                }
            }
            return moves;
        }
    }

    /** Guards against assignments that differ from those of a full sort of the sites per block. */
    @Property(tries = 40, seed = "11")
    void agreesWithReferenceModel(
            @ForAll @Size(6) List<@IntRange(min = -1, max = 5) Integer> drawn) {
        int[] weights = drawn.stream().mapToInt(Integer::intValue).toArray();
        weights[0] = Math.max(1, weights[0]);
        Settings settings = settings(BLOCKS, weights(weights));
        Assigned assigned = Assigned.of(settings);
        ReferenceModel model = new ReferenceModel(settings);

        for (int block = 0; block < BLOCKS; block++) {
            List<String> expected = model.next(block);
            assertThat(assigned.primary(block)).isEqualTo(expected.get(0));
            assertThat(assigned.secondary(block)).isEqualTo(expected.get(1));
        }
    }

    /** Reference model: sorts all sites for each block and assigns the first below its bound. */
    private static final class ReferenceModel {
        private final Settings mSettings;
        private final Map<String, Integer> mLoads = new HashMap<>();

        ReferenceModel(Settings settings) {
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
                                            -Math.log(
                                                            StableHash.unit(
                                                                    StableHash.of(
                                                                            SERVICE + "@" + z),
                                                                    block))
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
        /** Guards against a site that is assigned more than 10% above its share. */
        @Test
        void primariesStayWithinTenPercentOfShare() {
            // Two thirds of the blocks are nearest to sites that have a third of the weight.
            Assigned assigned = Assigned.of(settings(BLOCKS, weights(4, 4, 1, 1, 1, 1)));

            assigned.loads()
                    .forEach(
                            (zone, load) -> {
                                int weight = zone.startsWith("a") ? 4 : 1;
                                assertThat(load).isLessThanOrEqualTo(550 * weight);
                            });
            assertThat(assigned.loads().values().stream().mapToInt(Integer::intValue).sum())
                    .isEqualTo(BLOCKS);
        }

        /** Guards against blocks assigned to far regions while near sites are below their bound. */
        @Test
        void blocksAreAssignedToTheirHomeRegion() {
            Assigned assigned = Assigned.of(settings(BLOCKS, weights(1, 1, 1, 1, 1, 1)));

            for (int block = 0; block < BLOCKS / 3; block++) {
                assertThat(assigned.primary(block)).startsWith("a");
                assertThat(assigned.secondary(block)).startsWith("a");
            }
        }
    }

    @Nested
    class Rebalancing {
        private final Assigned mUniform = Assigned.of(settings(BLOCKS, weights(1, 1, 1, 1, 1, 1)));

        /** Guards against a removed site that also moves the blocks of other sites. */
        @Test
        void removedSiteMovesOnlyItsOwnBlocks() {
            for (int removed = 0; removed < 6; removed++) {
                int[] weights = {1, 1, 1, 1, 1, 1};
                weights[removed] = removed % 2 == 0 ? 0 : -1;
                Assigned next = mUniform.update(settings(BLOCKS, weights(weights)));
                String zone = Deployments.ZONES.get(removed);

                Map<String, Integer> moves = mUniform.movesTo(next);
                assertThat(moves.keySet()).allMatch(move -> move.startsWith(zone + ">"));
                assertThat(moves.values().stream().mapToInt(Integer::intValue).sum())
                        .isEqualTo(mUniform.loads().get(zone));
            }
        }

        /** Guards against a new site that moves blocks between the existing sites. */
        @Test
        void newSiteOnlyAttractsBlocks() {
            Assigned five = Assigned.of(settings(BLOCKS, weights(1, 1, 1, 1, 1)));
            Assigned six = five.update(settings(BLOCKS, weights(1, 1, 1, 1, 1, 1)));

            // The lower shares of the others move the blocks above their bounds to near sites.
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

        /** Guards against moved blocks after a settings change that does not affect the sites. */
        @Test
        void unchangedSitesMoveNoBlocks() {
            Assigned again = mUniform.update(settings(BLOCKS, weights(1, 1, 1, 1, 1, 1)));

            assertThat(mUniform.movesTo(again)).isEmpty();
        }

        /** Guards against a new site mistaken for a removed one with the same number. */
        @Test
        void newSiteNeverReusesTheNumberOfASiteJustRemoved() {
            Assigned swapped = mUniform.update(settings(BLOCKS, weights(-1, 1, 1, 1, 1, 1)));

            assertThat(swapped.sites().number(new Site(SERVICE, "a1"))).isEqualTo(-1);
            SiteIndex before = SiteIndex.of(settings(BLOCKS, weights(1)));
            SiteIndex after = before.update(settings(BLOCKS, weights(-1, 1)));
            assertThat(after.number(new Site(SERVICE, "a2"))).isNotZero();
        }
    }

    @Nested
    class Groups {
        /** Guards against a block whose group is out of bounds of the arrays. */
        @Test
        void groupsCoverEveryBlock() {
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
