package org.redwingladder.tool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadScheduleTest {
    private static LoadPlan plan(long seed) {
        LoadPlan.Stream stream =
                new LoadPlan.Stream(
                        null,
                        "store",
                        null,
                        "/x",
                        100,
                        false,
                        0,
                        null,
                        0,
                        List.of(new LoadPlan.Burst(10_000, 10_000, 5)));
        return new LoadPlan(seed, 30_000, 10, 5, 9, 0, List.of(stream));
    }

    /** Guards against loads that differ from run to run or leave bursts out. */
    @Nested
    class Arrivals {
        @Test
        void followTheSeed() {
            assertThat(LoadSchedule.of(plan(1))).isEqualTo(LoadSchedule.of(plan(1)));
            assertThat(LoadSchedule.of(plan(1))).isNotEqualTo(LoadSchedule.of(plan(2)));
        }

        @Test
        void haveTheRatesOfThePlan() {
            List<LoadSchedule.Arrival> arrivals = LoadSchedule.of(plan(3));
            long inBurst =
                    arrivals.stream()
                            .filter(a -> a.atMicros() >= 10_000_000 && a.atMicros() < 20_000_000)
                            .count();

            // Five deviations of a Poisson count are 354 and 224.
            assertThat(inBurst).isBetween(4_646L, 5_354L);
            assertThat(arrivals.size() - inBurst).isBetween(1_776L, 2_224L);
            assertThat(arrivals).allMatch(a -> a.block() >= 5 && a.block() <= 9);
        }
    }
}
