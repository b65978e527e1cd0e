package org.redwingladder.tool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;

class RequestRunnerTest {
    private static final AttemptResult LOST = new AttemptResult.Lost("lost-cut-off", "closed");
    private static final AttemptResult WRONG = new AttemptResult.Wrong("wrong-id");
    private static final AttemptResult NEVER_SENT =
            new AttemptResult.NeverSent("never-sent-refused");

    private final FakeTransport mTransport = new FakeTransport();

    private RequestResult run(String method, boolean once, AttemptResult... results) {
        mTransport.mResults.addAll(List.of(results));
        return mTransport.run(FakeTransport.work(method, once));
    }

    /** Guards against a second run of work whose first run may have happened. */
    @Nested
    class WorkThatMayHaveRun {
        @Test
        void isNotRepeatedWithoutToken() {
            for (AttemptResult loss : List.of(LOST, WRONG)) {
                mTransport.mSent.clear();

                RequestResult result = run("POST", false, loss);

                assertThat(result.end()).isEqualTo(RequestResult.End.UNKNOWN);
                assertThat(mTransport.mSent).hasSize(1);
            }
        }

        @Test
        void isNotRepeatedAfterRefusalWithUnknownOutcome() {
            AttemptResult refusal =
                    FakeTransport.refused(RefusalReason.BACKEND_LOST, Outcome.UNKNOWN, 0);

            assertThat(run("POST", false, refusal).end()).isEqualTo(RequestResult.End.UNKNOWN);
            assertThat(run("POST", true, refusal).end()).isEqualTo(RequestResult.End.UNKNOWN);
            assertThat(mTransport.mSent).hasSize(2);
        }

        @Test
        void keepsItsTokenForEveryLaterAttempt() {
            AttemptResult notRun =
                    FakeTransport.refused(RefusalReason.STOPPING, Outcome.NOT_RUN, 0);

            RequestResult result = run("POST", true, LOST, notRun, FakeTransport.answer());

            assertThat(result.end()).isEqualTo(RequestResult.End.ANSWERED);
            assertThat(mTransport.mSent).allMatch(line -> line.endsWith(" token1")).hasSize(3);
        }

        @Test
        void staysUnknownIfALaterAttemptDidNotRun() {
            AttemptResult notRun =
                    FakeTransport.refused(RefusalReason.UNKNOWN_SERVICE, Outcome.NOT_RUN, 0);

            assertThat(run("POST", true, LOST, notRun).end()).isEqualTo(RequestResult.End.UNKNOWN);
        }

        @Test
        void isUnknownWithoutAnAnswerEvenIfIdempotent() {
            AttemptResult notRun =
                    FakeTransport.refused(RefusalReason.CAP_RATE, Outcome.NOT_RUN, 30_000);

            assertThat(run("GET", false, LOST, notRun).end()).isEqualTo(RequestResult.End.UNKNOWN);
            assertThat(run("GET", false, LOST, LOST, WRONG, LOST).end())
                    .isEqualTo(RequestResult.End.UNKNOWN);
        }

        @Test
        void isRepeatedIfIdempotent() {
            RequestResult result = run("GET", false, LOST, WRONG, FakeTransport.answer());

            assertThat(result.end()).isEqualTo(RequestResult.End.ANSWERED);
            assertThat(mTransport.mSent).startsWith("a:1 w.1", "b:1 w.2");
        }
    }

    /** Guards against a client that gives up although another entry host would answer. */
    @Nested
    class WorkThatDidNotRun {
        @Test
        void goesToTheNextHostIfNeverSent() {
            RequestResult result = run("POST", false, NEVER_SENT, FakeTransport.answer());

            assertThat(result.end()).isEqualTo(RequestResult.End.ANSWERED);
            assertThat(mTransport.mSent).containsExactly("a:1 w.1", "b:1 w.2");
        }

        @Test
        void takesANewTokenWhereItGoesNext() {
            RequestResult result = run("POST", true, NEVER_SENT, FakeTransport.answer());

            assertThat(result.end()).isEqualTo(RequestResult.End.ANSWERED);
            assertThat(mTransport.mLookups).containsExactly("first:1", "a:1 once", "b:1 once");
            assertThat(mTransport.mSent).containsExactly("a:1 w.1 token1", "b:1 w.2 token2");
        }

        @Test
        void skipsAHostThatGivesNoToken() {
            mTransport.mTokens.add(new LookupResult.Failed("never-sent-refused"));

            run("POST", true, FakeTransport.answer());

            assertThat(mTransport.mSent).containsExactly("b:1 w.1 token1");
        }

        @Test
        void waitsUntilRetryAt() {
            AttemptResult later =
                    FakeTransport.refused(RefusalReason.CAP_RATE, Outcome.NOT_RUN, 3_000);

            RequestResult result = run("POST", false, later, FakeTransport.answer());

            assertThat(result.end()).isEqualTo(RequestResult.End.ANSWERED);
            assertThat(result.attempts().get(1).sentAt()).isEqualTo(3_000);
        }

        @Test
        void isRefusedIfRetryAtIsAfterTheDeadline() {
            AttemptResult later =
                    FakeTransport.refused(RefusalReason.CAP_RATE, Outcome.NOT_RUN, 30_000);

            RequestResult result = run("POST", false, later);

            assertThat(result.end()).isEqualTo(RequestResult.End.REFUSED);
            assertThat(mTransport.mNow).isEqualTo(1_000);
        }

        @Test
        void isRefusedIfARetryCannotHelp() {
            AttemptResult never =
                    FakeTransport.refused(RefusalReason.BODY_TOO_LARGE, Outcome.NOT_RUN, 0);

            assertThat(run("POST", false, never).end()).isEqualTo(RequestResult.End.REFUSED);
            assertThat(mTransport.mSent).hasSize(1);
        }

        @Test
        void endsAfterTheMostAttempts() {
            RequestResult result =
                    run("GET", false, NEVER_SENT, NEVER_SENT, NEVER_SENT, NEVER_SENT);

            assertThat(result.end()).isEqualTo(RequestResult.End.REFUSED);
            assertThat(result.attempts()).hasSize(4);
        }
    }

    /** Guards against the use of entry hosts that may have left since the answer was given. */
    @Nested
    class LookupAnswers {
        @Test
        void areUsedUntilTheyExpire() {
            LookupCache cache =
                    new LookupCache(mTransport, List.of("first:1"), () -> mTransport.mNow);
            Work work = FakeTransport.work("GET", false);
            mTransport.mResults.addAll(
                    List.of(
                            FakeTransport.answer(),
                            FakeTransport.answer(),
                            FakeTransport.answer()));

            mTransport.run(work, cache);
            mTransport.mNow += FakeTransport.LIFETIME_MILLIS - 1;
            mTransport.run(work, cache);
            assertThat(mTransport.mLookups).containsExactly("first:1");
            mTransport.mNow += 1;
            mTransport.run(work, cache);

            // The hosts of the old answer are nearer than the ones the client started with.
            assertThat(mTransport.mLookups).containsExactly("first:1", "a:1");
        }

        @Test
        void areReplacedWhenNoHostOfThemAnswers() {
            RequestResult result =
                    run("GET", false, NEVER_SENT, NEVER_SENT, FakeTransport.answer());

            assertThat(result.end()).isEqualTo(RequestResult.End.ANSWERED);
            assertThat(mTransport.mLookups).hasSize(2);
        }
    }
}
