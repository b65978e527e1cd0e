package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SendHistoryTest {
    private static SendHistory history(RequestKind kind, int attempts) {
        return SendHistory.create(
                new Route(
                        "r",
                        "h",
                        "/",
                        kind,
                        800,
                        250,
                        1,
                        List.of(new WeightedService("a", 1)),
                        attempts,
                        true,
                        Set.of()));
    }

    @Nested
    class Once {
        private final SendHistory mHistory = history(RequestKind.NON_IDEMPOTENT, 3);

        /** The lost attempt may have run, so a retry could run the request twice. */
        @Test
        void isNotSentAgainIfItMayHaveRun() {
            mHistory.sent();
            assertThat(mHistory.maySendAgain(SendResult.LOST, 1)).isFalse();
            assertThat(mHistory.mayHaveRun()).isTrue();
        }

        /** A request that no server has run must not fail without a retry. */
        @Test
        void isSentAgainIfItHasNotRun() {
            mHistory.sent();
            mHistory.turnedAway();
            assertThat(mHistory.maySendAgain(SendResult.FULL, 1)).isTrue();
            assertThat(mHistory.mayHaveRun()).isFalse();
        }

        /** A rejection of the second attempt says nothing about the first one. */
        @Test
        void remembersAllSends() {
            mHistory.sent();
            mHistory.sent();
            mHistory.turnedAway();
            assertThat(mHistory.mayHaveRun()).isTrue();
        }

        /** A hedge could run a non-idempotent request twice. */
        @Test
        void isNeverDoubled() {
            assertThat(mHistory.mayBeDoubled()).isFalse();
        }
    }

    @Nested
    class Bounds {
        /** A request must not be sent more often than its route allows. */
        @Test
        void endsWithTheAttempts() {
            SendHistory history = history(RequestKind.IDEMPOTENT, 2);
            history.sent();
            assertThat(history.maySendAgain(SendResult.LOST, 1)).isTrue();
            history.sent();
            assertThat(history.maySendAgain(SendResult.LOST, 1)).isFalse();
        }

        /** The search for a reachable server must be bounded. */
        @Test
        void endsAfterThreeSendsThatReachedNoServer() {
            SendHistory history = history(RequestKind.IDEMPOTENT, 2);
            for (int i = 0; i < 3; i++) {
                assertThat(history.maySendAgain(SendResult.UNREACHABLE, 1)).isTrue();
                history.sent();
                history.neverSent();
            }
            assertThat(history.maySendAgain(SendResult.UNREACHABLE, 1)).isFalse();
        }

        /** The answer to a retry after the deadline would be useless. */
        @Test
        void endsWithTheTime() {
            assertThat(history(RequestKind.IDEMPOTENT, 2).maySendAgain(SendResult.FULL, 0))
                    .isFalse();
        }
    }
}
