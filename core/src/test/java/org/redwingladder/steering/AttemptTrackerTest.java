package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AttemptTrackerTest {
    private static AttemptTracker tracker(RequestKind kind, int attempts) {
        return AttemptTracker.create(
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
    class NonIdempotent {
        private final AttemptTracker mTracker = tracker(RequestKind.NON_IDEMPOTENT, 3);

        /** The lost attempt may have run, so a retry could run the request twice. */
        @Test
        void isNotRetriedAfterALostAnswer() {
            mTracker.recordSent();
            assertThat(mTracker.mayRetry(SendResult.LOST, 1)).isFalse();
            assertThat(mTracker.mayHaveRun()).isTrue();
        }

        /** A request that no server has run must not fail without a retry. */
        @Test
        void isRetriedAfterARejection() {
            mTracker.recordSent();
            mTracker.recordRejected();
            assertThat(mTracker.mayRetry(SendResult.FULL, 1)).isTrue();
            assertThat(mTracker.mayHaveRun()).isFalse();
        }

        /** A rejection of the second attempt says nothing about the first one. */
        @Test
        void rejectionDoesNotClearAnEarlierSend() {
            mTracker.recordSent();
            mTracker.recordSent();
            mTracker.recordRejected();
            assertThat(mTracker.mayHaveRun()).isTrue();
        }

        /** A hedge could run a non-idempotent request twice. */
        @Test
        void isNeverHedged() {
            assertThat(mTracker.mayHedge()).isFalse();
        }
    }

    @Nested
    class Bounds {
        /** A request must not be sent more often than its route allows. */
        @Test
        void stopsAtMaxAttempts() {
            AttemptTracker history = tracker(RequestKind.IDEMPOTENT, 2);
            history.recordSent();
            assertThat(history.mayRetry(SendResult.LOST, 1)).isTrue();
            history.recordSent();
            assertThat(history.mayRetry(SendResult.LOST, 1)).isFalse();
        }

        /** The search for a reachable server must be bounded. */
        @Test
        void stopsAfterThreeUnreachableServers() {
            AttemptTracker history = tracker(RequestKind.IDEMPOTENT, 2);
            for (int i = 0; i < 3; i++) {
                assertThat(history.mayRetry(SendResult.UNREACHABLE, 1)).isTrue();
                history.recordSent();
                history.recordNotSent();
            }
            assertThat(history.mayRetry(SendResult.UNREACHABLE, 1)).isFalse();
        }

        /** The answer to a retry after the deadline would be useless. */
        @Test
        void stopsAtTheDeadline() {
            assertThat(tracker(RequestKind.IDEMPOTENT, 2).mayRetry(SendResult.FULL, 0)).isFalse();
        }
    }
}
