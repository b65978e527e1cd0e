package org.redwingladder.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendCallTest {
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final long LEASE_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 10_000;

    /** The clocks of a process that is paused after the first reading of either clock. */
    private static final class PausingTimeSource implements TimeSource {
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
        /**
         * Guards against work that starts after the owner's lease has expired, beside the work of
         * the next owner, because the process was paused between reading the two clocks.
         */
        @Test
        void processPauseBetweenClockReadingsDoesNotExtendTheLease() {
            long startBy =
                    BackendCall.startBy(
                            Long.MAX_VALUE,
                            new PausingTimeSource(),
                            TimeUnit.MILLISECONDS.toNanos(LEASE_MILLIS));

            assertThat(startBy).isLessThanOrEqualTo(START_MILLIS + LEASE_MILLIS);
        }
    }
}
