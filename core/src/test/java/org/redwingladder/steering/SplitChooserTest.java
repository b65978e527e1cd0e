package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SplitChooserTest {
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
                            new Destination("a", 70),
                            new Destination("b", 20),
                            new Destination("c", 10));
            SplitChooser roundRobin = new SplitChooser();
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
        void leavesOutAWeightOfZero() {
            Route route =
                    RouteTableTest.route(
                            "r", "h", "/", new Destination("a", 0), new Destination("b", 1));
            SplitChooser roundRobin = new SplitChooser();
            for (int i = 0; i < 20; i++) {
                assertThat(roundRobin.next(route)).isEqualTo("b");
            }
        }
    }
}
