package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServiceTimeEstimatorTest {
    @Nested
    class Estimation {
        /** A few stragglers must not raise the estimated median. */
        @Test
        void medianIgnoresStragglers() {
            ServiceTimeEstimator estimator = new ServiceTimeEstimator();
            Random random = new Random(3);
            for (int i = 0; i < 500; i++) {
                double millis = 90 + 20 * random.nextDouble();
                estimator.recordWarm("a", random.nextInt(20) == 0 ? millis * 7 : millis, 250);
            }
            assertThat(estimator.medianMillis("a", 250)).isCloseTo(100, within(12.0));
            assertThat(estimator.meanMillis("a", 250)).isGreaterThan(105);
        }

        /**
         * An underestimated cold factor would spread objects over servers that miss their caches.
         */
        @Test
        void estimatesColdFactor() {
            ServiceTimeEstimator estimator = new ServiceTimeEstimator();
            for (int i = 0; i < 300; i++) {
                estimator.recordWarm("a", 100, 250);
                estimator.recordCold("a", 200, 250);
            }
            assertThat(estimator.coldFactor("a")).isCloseTo(2, within(0.2));
        }
    }
}
