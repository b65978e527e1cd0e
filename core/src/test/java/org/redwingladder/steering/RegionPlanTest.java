package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RegionPlanTest {
    private static final Map<String, Double> DEMAND =
            Map.of("small", 100.0, "large", 100.0, "medium", 100.0);
    private static final Map<String, Double> SLOTS =
            Map.of("small", 8.0, "large", 40.0, "medium", 32.0);

    @Nested
    class Target {
        /** Guards against a region that keeps more work than its few servers can do. */
        @Test
        void handsOnWhatExceedsTheRoom() {
            Map<String, Double> parts = RegionPlan.target("small", DEMAND, SLOTS, 0.13);
            assertThat(parts.get("small")).isLessThan(0.4);
            assertThat(parts.get("large")).isGreaterThan(parts.get("medium"));
            double sum = parts.values().stream().mapToDouble(Double::doubleValue).sum();
            assertThat(sum).isCloseTo(1, within(1e-9));
        }

        /** Guards against work that crosses regions without need. */
        @Test
        void keepsWhatFits() {
            assertThat(RegionPlan.target("large", DEMAND, SLOTS, 0.1))
                    .containsExactly(Map.entry("large", 1.0));
        }

        /** Guards against requests for a region that has lost all of its servers. */
        @Test
        void givesNothingToARegionWithoutServers() {
            Map<String, Double> parts =
                    RegionPlan.target("small", DEMAND, Map.of("large", 40.0), 0.1);
            assertThat(parts.getOrDefault("small", 0.0)).isZero();
            assertThat(parts.get("large")).isCloseTo(1, within(1e-9));
        }
    }

    @Nested
    class Move {
        /** Guards against a wave of requests that reaches a region at once. */
        @Test
        void movesNoMoreThanTheStep() {
            Map<String, Double> next =
                    RegionPlan.move(Map.of("a", 1.0), Map.of("a", 0.2, "b", 0.8), 0.05);
            assertThat(next.get("b")).isCloseTo(0.05, within(1e-9));
            assertThat(next.get("a")).isCloseTo(0.95, within(1e-9));
        }

        /** Guards against parts that never reach their target. */
        @Test
        void endsAtTheTarget() {
            Map<String, Double> parts = Map.of("a", 1.0);
            Map<String, Double> target = Map.of("b", 1.0);
            for (int i = 0; i < 21; i++) {
                parts = RegionPlan.move(parts, target, 0.05);
            }
            assertThat(parts).containsOnlyKeys("b");
        }
    }
}
