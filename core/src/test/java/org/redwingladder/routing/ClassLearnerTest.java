package org.redwingladder.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClassLearnerTest {
    private static final long MILLI = 1_000_000L;

    private final ClassLearner mLearner = new ClassLearner();

    private static SiteRequest request(String key, @Nullable WorkClass stated) {
        return new SiteRequest(1, "z", key, stated, 0, true);
    }

    private void learn(String key, long millis, int times) {
        for (int i = 0; i < times; i++) {
            mLearner.learn(request(key, null), millis * MILLI);
        }
    }

    @Nested
    class Learning {
        /** Guards against videos that pass as short work when the settings state no class. */
        @Test
        void findsLongKeysAndForgetsThem() {
            learn("pages", 15, 300);
            learn("videos", 750, 20);

            assertThat(mLearner.classOf(request("videos", null))).isEqualTo(WorkClass.LONG);
            assertThat(mLearner.classOf(request("pages", null))).isEqualTo(WorkClass.SHORT);

            learn("videos", 20, 100);
            assertThat(mLearner.classOf(request("videos", null))).isEqualTo(WorkClass.SHORT);
        }

        /** Guards against learned times that overrule the settings. */
        @Test
        void followsTheStatedClass() {
            learn("pages", 15, 300);
            learn("videos", 750, 20);

            assertThat(mLearner.classOf(request("videos", WorkClass.SHORT)))
                    .isEqualTo(WorkClass.SHORT);
        }
    }
}
