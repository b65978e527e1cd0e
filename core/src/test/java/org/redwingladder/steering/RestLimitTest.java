package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RestLimitTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;

    private final RestLimit mLimit = RestLimit.create();

    private void lose(int times, long idleMillis, long afterMillis, long now) {
        for (int i = 0; i < times; i++) {
            mLimit.lost(idleMillis * MILLI, now - afterMillis * MILLI, now);
        }
    }

    @Nested
    class Learning {
        /** Non-idempotent requests must not be lost on one dropped connection after another. */
        @Test
        void avoidsRestsAfterWhichRequestsWereLost() {
            lose(2, 500, 2, SECOND);
            lose(1, 320, 40, SECOND);
            assertThat(mLimit.nanos(SECOND)).isEqualTo(160 * MILLI);
        }

        /** The crash of one server must not cause a new connection for every request. */
        @Test
        void takesFewLossesForACrash() {
            lose(2, 500, 2, SECOND);
            assertThat(mLimit.nanos(SECOND)).isEqualTo(Long.MAX_VALUE);
            lose(1, 500, 2, 30 * SECOND);
            assertThat(mLimit.nanos(30 * SECOND)).isEqualTo(Long.MAX_VALUE);
        }

        /** Losses of requests in progress or on busy connections have another cause than idling. */
        @Test
        void ignoresLossesThatComeLateOrOnBusyConnections() {
            lose(9, 500, 300, SECOND);
            lose(9, 20, 2, SECOND);
            lose(9, 0, 2, SECOND);
            assertThat(mLimit.nanos(SECOND)).isEqualTo(Long.MAX_VALUE);
        }
    }

    @Nested
    class Forgetting {
        /** The limit must not outlive its cause. */
        @Test
        void endsAWhileAfterTheLastLoss() {
            lose(3, 400, 2, SECOND);
            assertThat(mLimit.nanos(20 * SECOND)).isEqualTo(200 * MILLI);
            assertThat(mLimit.nanos(22 * SECOND)).isEqualTo(Long.MAX_VALUE);
        }
    }
}
