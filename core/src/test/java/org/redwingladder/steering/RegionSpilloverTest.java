package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RegionSpilloverTest {
    private static final Map<String, Double> DEMAND =
            Map.of("small", 100.0, "large", 100.0, "medium", 100.0);
    private static final Map<String, Double> SLOTS =
            Map.of("small", 8.0, "large", 40.0, "medium", 32.0);

    @Nested
    class TargetShares {
        /** A region must not keep more requests than its servers can process. */
        @Test
        void spillsOverDemandAboveCapacity() {
            Map<String, Double> shares = RegionSpillover.targetShares("small", DEMAND, SLOTS, 0.13);
            assertThat(shares.get("small")).isLessThan(0.4);
            assertThat(shares.get("large")).isGreaterThan(shares.get("medium"));
            double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
            assertThat(sum).isCloseTo(1, within(1e-9));
        }

        /** Requests must not cross regions while the local capacity suffices. */
        @Test
        void servesLocallyWithinCapacity() {
            assertThat(RegionSpillover.targetShares("large", DEMAND, SLOTS, 0.1))
                    .containsExactly(Map.entry("large", 1.0));
        }

        /** A region that has lost all its servers must not receive requests. */
        @Test
        void givesNoShareToARegionWithoutServers() {
            Map<String, Double> shares =
                    RegionSpillover.targetShares("small", DEMAND, Map.of("large", 40.0), 0.1);
            assertThat(shares.getOrDefault("small", 0.0)).isZero();
            assertThat(shares.get("large")).isCloseTo(1, within(1e-9));
        }
    }

    @Nested
    class Shift {
        /** A region must not receive a sudden surge of requests. */
        @Test
        void movesAtMostOneStep() {
            Map<String, Double> next =
                    RegionSpillover.shift(Map.of("a", 1.0), Map.of("a", 0.2, "b", 0.8), 0.05);
            assertThat(next.get("b")).isCloseTo(0.05, within(1e-9));
            assertThat(next.get("a")).isCloseTo(0.95, within(1e-9));
        }

        /** Shares must not approach their target without ever reaching it. */
        @Test
        void reachesTheTarget() {
            Map<String, Double> shares = Map.of("a", 1.0);
            Map<String, Double> target = Map.of("b", 1.0);
            for (int i = 0; i < 21; i++) {
                shares = RegionSpillover.shift(shares, target, 0.05);
            }
            assertThat(shares).containsOnlyKeys("b");
        }
    }
}
