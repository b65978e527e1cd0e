package org.redwingladder.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TransferAllowanceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MAX_SECONDS = TransferAllowance.MAX_WAIT_NANOS / SECOND;

    private final TransferAllowance mAllowance = new TransferAllowance();

    @Nested
    class Exceeded {
        @Test
        void byAClientThatSendsAByteASecond() {
            for (long second = 0; second < MAX_SECONDS; second++) {
                mAllowance.waitBegins(second * SECOND);
                assertThat(mAllowance.isExceeded(second * SECOND)).isFalse();
                mAllowance.transferred(1, (second + 1) * SECOND);
            }
            mAllowance.waitBegins(MAX_SECONDS * SECOND);
            assertThat(mAllowance.isExceeded((MAX_SECONDS + 1) * SECOND)).isTrue();
        }

        /** The bytes of a long transfer must not let its client pause for minutes at the end. */
        @Test
        void byAClientThatStopsAfterManyBytes() {
            mAllowance.transferred(64 << 20, 0);
            mAllowance.waitBegins(0);
            assertThat(mAllowance.isExceeded((MAX_SECONDS - 1) * SECOND)).isFalse();
            assertThat(mAllowance.isExceeded(MAX_SECONDS * SECOND)).isTrue();
        }
    }

    @Nested
    class NotExceeded {
        @Test
        void byAClientAtTheLowestRate() {
            for (int second = 0; second < 600; second++) {
                mAllowance.waitBegins(second * SECOND);
                mAllowance.transferred(
                        TransferAllowance.MIN_BYTES_PER_SECOND, (second + 1) * SECOND);
                assertThat(mAllowance.isExceeded((second + 1) * SECOND)).isFalse();
            }
        }

        /** A server that is slow to send or to read is not the client's fault. */
        @Test
        void whileTheHostDoesNotWaitForTheClient() {
            mAllowance.waitBegins(0);
            mAllowance.transferred(1, SECOND);
            assertThat(mAllowance.isExceeded(1000 * SECOND)).isFalse();
            mAllowance.waitBegins(1000 * SECOND);
            assertThat(mAllowance.isExceeded((998 + MAX_SECONDS) * SECOND)).isFalse();
            assertThat(mAllowance.isExceeded((1000 + MAX_SECONDS) * SECOND)).isTrue();
        }
    }

    @Nested
    class Restart {
        @Test
        void givesTheNextTransferTheWholeTime() {
            mAllowance.waitBegins(0);
            mAllowance.restart();
            assertThat(mAllowance.isExceeded(60 * SECOND)).isFalse();
            mAllowance.waitBegins(60 * SECOND);
            assertThat(mAllowance.isExceeded((59 + MAX_SECONDS) * SECOND)).isFalse();
        }
    }
}
