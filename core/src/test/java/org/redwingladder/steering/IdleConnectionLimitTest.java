package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdleConnectionLimitTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;

    private final IdleConnectionLimit mLimit = IdleConnectionLimit.create();

    private void recordLosses(int times, long idleMillis, long afterMillis, long now) {
        for (int i = 0; i < times; i++) {
            mLimit.recordLoss(idleMillis * MILLI, now - afterMillis * MILLI, now);
        }
    }

    @Nested
    class Learning {
        /** Non-idempotent requests must not be lost on one dropped connection after another. */
        @Test
        void limitsIdleTimeAfterRepeatedResets() {
            recordLosses(2, 500, 2, SECOND);
            recordLosses(1, 320, 40, SECOND);
            assertThat(mLimit.maxIdleNanos(SECOND)).isEqualTo(160 * MILLI);
        }

        /** The crash of one server must not cause a new connection for every request. */
        @Test
        void toleratesLossesOfASingleCrash() {
            recordLosses(2, 500, 2, SECOND);
            assertThat(mLimit.maxIdleNanos(SECOND)).isEqualTo(Long.MAX_VALUE);
            recordLosses(1, 500, 2, 30 * SECOND);
            assertThat(mLimit.maxIdleNanos(30 * SECOND)).isEqualTo(Long.MAX_VALUE);
        }

        /** Losses of requests in progress or on busy connections have another cause than idling. */
        @Test
        void ignoresLateLossesAndBusyConnections() {
            recordLosses(9, 500, 300, SECOND);
            recordLosses(9, 20, 2, SECOND);
            recordLosses(9, 0, 2, SECOND);
            assertThat(mLimit.maxIdleNanos(SECOND)).isEqualTo(Long.MAX_VALUE);
        }
    }

    @Nested
    class Expiry {
        /** The limit must not outlive its cause. */
        @Test
        void limitExpiresAfterTheLastLoss() {
            recordLosses(3, 400, 2, SECOND);
            assertThat(mLimit.maxIdleNanos(20 * SECOND)).isEqualTo(200 * MILLI);
            assertThat(mLimit.maxIdleNanos(22 * SECOND)).isEqualTo(Long.MAX_VALUE);
        }
    }
}
