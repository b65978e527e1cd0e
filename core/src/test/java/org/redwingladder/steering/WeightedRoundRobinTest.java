package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WeightedRoundRobinTest {
    @Nested
    class Next {
        /** Shares must not deviate from their weights over any number of requests. */
        @Test
        void keepsEachShareWithinOneRequestOfItsWeight() {
            Route route =
                    RouteTableTest.route(
                            "r",
                            "h",
                            "/",
                            new WeightedService("a", 70),
                            new WeightedService("b", 20),
                            new WeightedService("c", 10));
            WeightedRoundRobin roundRobin = new WeightedRoundRobin();
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 1; i <= 1000; i++) {
                counts.merge(roundRobin.next(route), 1, Integer::sum);
                assertThat(counts.getOrDefault("a", 0))
                        .isBetween((int) (0.7 * i) - 1, i * 7 / 10 + 2);
            }
            assertThat(counts).containsEntry("a", 700).containsEntry("b", 200);
        }

        /** A service whose weight is zero must receive no requests. */
        @Test
        void skipsZeroWeights() {
            Route route =
                    RouteTableTest.route(
                            "r",
                            "h",
                            "/",
                            new WeightedService("a", 0),
                            new WeightedService("b", 1));
            WeightedRoundRobin roundRobin = new WeightedRoundRobin();
            for (int i = 0; i < 20; i++) {
                assertThat(roundRobin.next(route)).isEqualTo("b");
            }
        }
    }
}
