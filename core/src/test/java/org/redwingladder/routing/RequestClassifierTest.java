package org.redwingladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestClassifierTest {
    private static final long MILLI = 1_000_000L;

    private final RequestClassifier mClassifier = new RequestClassifier();

    private static SiteRequest request(String key, @Nullable WorkClass configured) {
        return new SiteRequest(1, "z", key, configured, 0, true);
    }

    private void recordServiceTimes(String key, long millis, int times) {
        for (int i = 0; i < times; i++) {
            mClassifier.recordServiceTime(request(key, null), millis * MILLI);
        }
    }

    @Nested
    class Classification {
        /** Guards against long work classified as short when the settings configure no class. */
        @Test
        void classifiesKeyAsLongUntilItsServiceTimeDrops() {
            recordServiceTimes("pages", 15, 300);
            recordServiceTimes("videos", 750, 20);

            assertThat(mClassifier.classify(request("videos", null))).isEqualTo(WorkClass.LONG);
            assertThat(mClassifier.classify(request("pages", null))).isEqualTo(WorkClass.SHORT);

            recordServiceTimes("videos", 20, 100);
            assertThat(mClassifier.classify(request("videos", null))).isEqualTo(WorkClass.SHORT);
        }

        /** Guards against learned service times that override the settings. */
        @Test
        void configuredClassOverridesLearnedOne() {
            recordServiceTimes("pages", 15, 300);
            recordServiceTimes("videos", 750, 20);

            assertThat(mClassifier.classify(request("videos", WorkClass.SHORT)))
                    .isEqualTo(WorkClass.SHORT);
        }
    }
}
