package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServiceTimesTest {
    @Nested
    class Learning {
        /** Guards against an estimate that a few stragglers pull up. */
        @Test
        void findsTheMedianAmongStragglers() {
            ServiceTimes times = new ServiceTimes();
            Random random = new Random(3);
            for (int i = 0; i < 500; i++) {
                double millis = 90 + 20 * random.nextDouble();
                times.warm("a", random.nextInt(20) == 0 ? millis * 7 : millis, 250);
            }
            assertThat(times.millis("a", 250)).isCloseTo(100, within(12.0));
            assertThat(times.meanMillis("a", 250)).isGreaterThan(105);
        }

        /** Guards against spreading objects where servers work slower on unknown ones. */
        @Test
        void learnsWhatAnUnknownObjectCosts() {
            ServiceTimes times = new ServiceTimes();
            for (int i = 0; i < 300; i++) {
                times.warm("a", 100, 250);
                times.cold("a", 200, 250);
            }
            assertThat(times.coldFactor("a")).isCloseTo(2, within(0.2));
        }
    }
}
