package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
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
            mTracker.start("s").end(SendResult.LOST);
            assertThat(mTracker.mayRetry(SendResult.LOST, 1)).isFalse();
            assertThat(mTracker.mayHaveRun()).isTrue();
            assertThat(mTracker.refuse()).isNull();
        }

        /** A request that no server has run must not fail without a retry. */
        @Test
        void isRetriedAfterARejection() {
            mTracker.start("s").end(SendResult.FULL);
            assertThat(mTracker.mayRetry(SendResult.FULL, 1)).isTrue();
            assertThat(mTracker.mayHaveRun()).isFalse();
        }

        /** A rejection of the second attempt says nothing about the first one. */
        @Test
        void rejectionDoesNotClearAnEarlierSend() {
            mTracker.start("s");
            mTracker.start("t").end(SendResult.FULL);
            assertThat(mTracker.mayHaveRun()).isTrue();
            assertThat(mTracker.refuse()).isNull();
        }

        /** A hedge could run a non-idempotent request twice. */
        @Test
        void isNeverHedged() {
            assertThat(mTracker.mayHedge()).isFalse();
        }
    }

    @Nested
    class Refusals {
        private static final int SEQUENCES = 20_000;
        private static final int MAX_EVENTS = 12;

        private final AttemptTracker mTracker = tracker(RequestKind.NON_IDEMPOTENT, 3);

        /** What a connection says that was given up must not change what the request promises. */
        @Test
        void countOnlyTheFirstResultOfAnAttempt() {
            AttemptTracker.Attempt attempt = mTracker.start("s");
            assertThat(attempt.end(SendResult.CANCELLED)).isTrue();
            assertThat(attempt.end(SendResult.FULL)).isFalse();
            assertThat(mTracker.refuse()).isNull();
        }

        /** Nothing of a request may go out after its client was told that it never will run. */
        @Test
        void allowNoFurtherAttempt() {
            mTracker.start("s").end(SendResult.FULL);
            assertThat(mTracker.refuse()).hasToString("s:FULL");
            assertThatThrownBy(() -> mTracker.start("t")).isInstanceOf(IllegalStateException.class);
        }

        @Test
        void nameTheHostIfNothingWasSent() {
            assertThat(mTracker.refuse()).hasToString("host:UNSENT");
        }

        /** Results arrive late, twice, and in any order. */
        @Test
        void areProvedInEachOrderOfResults() {
            for (int seed = 0; seed < SEQUENCES; seed++) {
                Sequence sequence = new Sequence(seed);
                AttemptTracker tracked = tracker(RequestKind.NON_IDEMPOTENT, 3);
                List<AttemptTracker.Attempt> attempts = new ArrayList<>();
                sequence.play(
                        () -> attempts.add(tracked.start("s")),
                        (attempt, result) -> attempts.get(attempt).end(result));
                assertThat(tracked.refuse() != null)
                        .as("seed " + seed)
                        .isEqualTo(sequence.provedNotRun());
            }
        }

        /** The sequences find the fault of a counter that takes back "the last attempt". */
        @Test
        void wouldBePromisedWronglyByACounter() {
            int wrong = 0;
            for (int seed = 0; seed < SEQUENCES; seed++) {
                Sequence sequence = new Sequence(seed);
                AtomicInteger mayHaveRun = new AtomicInteger();
                sequence.play(
                        mayHaveRun::incrementAndGet,
                        (attempt, result) -> {
                            if (result.provesNotRun()) {
                                mayHaveRun.decrementAndGet();
                            }
                        });
                if (mayHaveRun.get() <= 0 && !sequence.provedNotRun()) {
                    wrong++;
                }
            }
            assertThat(wrong).isPositive();
        }

        /** A random sequence of starts and results, of which the first of each attempt is true. */
        private static final class Sequence {
            private final Random mRandom;
            private final List<SendResult> mFirst = new ArrayList<>();

            Sequence(long seed) {
                mRandom = new Random(seed);
            }

            void play(Runnable start, BiConsumer<Integer, SendResult> end) {
                SendResult[] results = SendResult.values();
                int events = mRandom.nextInt(MAX_EVENTS);
                for (int i = 0; i < events; i++) {
                    if (mFirst.isEmpty() || mRandom.nextInt(3) == 0) {
                        mFirst.add(null);
                        start.run();
                    } else {
                        int attempt = mRandom.nextInt(mFirst.size());
                        SendResult result = results[mRandom.nextInt(results.length)];
                        if (mFirst.get(attempt) == null) {
                            mFirst.set(attempt, result);
                        }
                        end.accept(attempt, result);
                    }
                }
            }

            boolean provedNotRun() {
                return mFirst.stream()
                        .allMatch(
                                result ->
                                        result == SendResult.FULL
                                                || result == SendResult.MISDIRECTED
                                                || result == SendResult.UNREACHABLE
                                                || result == SendResult.WITHDRAWN);
            }
        }
    }

    @Nested
    class Bounds {
        /** A request must not be sent more often than its route allows. */
        @Test
        void stopsAtMaxAttempts() {
            AttemptTracker history = tracker(RequestKind.IDEMPOTENT, 2);
            history.start("s").end(SendResult.LOST);
            assertThat(history.mayRetry(SendResult.LOST, 1)).isTrue();
            history.start("t").end(SendResult.LOST);
            assertThat(history.mayRetry(SendResult.LOST, 1)).isFalse();
        }

        /** The search for a reachable server must be bounded. */
        @Test
        void stopsAfterThreeUnreachableServers() {
            AttemptTracker history = tracker(RequestKind.IDEMPOTENT, 2);
            for (int i = 0; i < 3; i++) {
                assertThat(history.mayRetry(SendResult.UNREACHABLE, 1)).isTrue();
                history.start("s" + i).end(SendResult.UNREACHABLE);
            }
            assertThat(history.mayRetry(SendResult.UNREACHABLE, 1)).isFalse();
        }

        /** A request that was never sent must not use up the attempts of its route. */
        @Test
        void doesNotCountWithdrawnAttempts() {
            AttemptTracker history = tracker(RequestKind.NON_IDEMPOTENT, 1);
            history.start("s").end(SendResult.WITHDRAWN);
            assertThat(history.mayRetry(SendResult.WITHDRAWN, 1)).isTrue();
            assertThat(history.refuse()).hasToString("s:WITHDRAWN");
        }

        /** The answer to a retry after the deadline would be useless. */
        @Test
        void stopsAtTheDeadline() {
            assertThat(tracker(RequestKind.IDEMPOTENT, 2).mayRetry(SendResult.FULL, 0)).isFalse();
        }
    }
}
