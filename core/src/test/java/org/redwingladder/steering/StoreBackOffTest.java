package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreBackOffTest {
    private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int OUTAGE_CALLS = 6;

    private final FreshnessPolicy mPolicy =
            new FreshnessPolicy("h1", "r1", Map.of("z1", "r1"), new SplittableRandom(1), 0);
    private long mNow;

    /** Returns whether a call to the store is due within a time. */
    private boolean callsStore(long provenNanos, long withinMillis) {
        long end = mNow + TimeUnit.MILLISECONDS.toNanos(withinMillis);
        while (mNow < end) {
            if (mPolicy.next(provenNanos, List.of(), mNow)
                    instanceof FreshnessPolicy.Step.AskStore) {
                return true;
            }
            mNow += CHECK_NANOS;
        }
        return false;
    }

    @BeforeEach
    void failInAnOutage() {
        for (int i = 0; i < OUTAGE_CALLS; i++) {
            assertThat(callsStore(0, 20_000)).isTrue();
            mPolicy.storeFailed(1, mNow);
        }
        // Another host proves that the outage is over.
        assertThat(mPolicy.next(mNow, List.of(), mNow))
                .isInstanceOf(FreshnessPolicy.Step.Idle.class);
    }

    @Nested
    class AfterAnOutageThatAnotherHostFoundOver {
        /** A host whose readers are lost then must not wait for the calls of the outage. */
        @Test
        void theStoreIsCalledAsSoonAsTheProofIsOutdated() {
            assertThat(callsStore(mNow, 2_500)).isTrue();
        }

        /** One lost call later must not delay the next one by as much as an outage does. */
        @Test
        void aFailedCallIsRepeatedSoon() {
            mNow += TimeUnit.SECONDS.toNanos(60);
            long proven = mNow;
            assertThat(mPolicy.next(proven, List.of(), mNow))
                    .isInstanceOf(FreshnessPolicy.Step.Idle.class);
            assertThat(callsStore(proven, 2_500)).isTrue();
            mPolicy.storeFailed(1, mNow);
            assertThat(callsStore(proven, 1_500)).isTrue();
        }
    }
}
