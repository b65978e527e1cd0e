package org.redwingladder.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendCallTest {
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final long CONFIRMED_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 10_000;

    /** Reads both clocks of a process that is paused after its first reading. */
    private static final class PausedAfterFirstReading implements TimeSource {
        private long mElapsedMillis;

        @Override
        public long nanos() {
            return TimeUnit.MILLISECONDS.toNanos(readAndPause());
        }

        @Override
        public long millis() {
            return START_MILLIS + readAndPause();
        }

        private long readAndPause() {
            long elapsed = mElapsedMillis;
            mElapsedMillis = PAUSE_MILLIS;
            return elapsed;
        }
    }

    @Nested
    class StartBy {
        /** Guards against a woken owner whose work starts beside that of its successor. */
        @Test
        void aPauseBetweenTheClocksDoesNotExtendTheConfirmation() {
            long startBy =
                    BackendCall.startBy(
                            Long.MAX_VALUE,
                            new PausedAfterFirstReading(),
                            TimeUnit.MILLISECONDS.toNanos(CONFIRMED_MILLIS));

            assertThat(startBy).isLessThanOrEqualTo(START_MILLIS + CONFIRMED_MILLIS);
        }
    }
}
