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
                        List.of(new Destination("a", 1)),
                        attempts,
                        true,
                        Set.of()));
    }

    @Nested
    class Once {
        private final SendHistory mHistory = history(RequestKind.NON_IDEMPOTENT, 3);

        /** Guards against a payment that runs twice. */
        @Test
        void isNotSentAgainIfItMayHaveRun() {
            mHistory.sent();
            assertThat(mHistory.maySendAgain(SendResult.LOST, 1)).isFalse();
            assertThat(mHistory.mayHaveRun()).isTrue();
        }

        /** Guards against giving up work that no server has run. */
        @Test
        void isSentAgainIfItHasNotRun() {
            mHistory.sent();
            mHistory.turnedAway();
            assertThat(mHistory.maySendAgain(SendResult.FULL, 1)).isTrue();
            assertThat(mHistory.mayHaveRun()).isFalse();
        }

        /** Guards against a refusal that forgets an earlier send. */
        @Test
        void remembersAllSends() {
            mHistory.sent();
            mHistory.sent();
            mHistory.turnedAway();
            assertThat(mHistory.mayHaveRun()).isTrue();
        }

        /** Guards against a second send beside the first one. */
        @Test
        void isNeverDoubled() {
            assertThat(mHistory.mayBeDoubled()).isFalse();
        }
    }

    @Nested
    class Bounds {
        /** Guards against more sends than the route allows. */
        @Test
        void endsWithTheAttempts() {
            SendHistory history = history(RequestKind.IDEMPOTENT, 2);
            history.sent();
            assertThat(history.maySendAgain(SendResult.LOST, 1)).isTrue();
            history.sent();
            assertThat(history.maySendAgain(SendResult.LOST, 1)).isFalse();
        }

        /** Guards against a search for a server that can be reached without end. */
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

        /** Guards against sends whose answers come too late. */
        @Test
        void endsWithTheTime() {
            assertThat(history(RequestKind.IDEMPOTENT, 2).maySendAgain(SendResult.FULL, 0))
                    .isFalse();
        }
    }
}
