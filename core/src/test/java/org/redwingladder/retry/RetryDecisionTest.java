package org.redwingladder.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.retry.RetryDecision.Fail;
import org.redwingladder.retry.RetryDecision.FailedAttempt;
import org.redwingladder.retry.RetryDecision.Retry;

class RetryDecisionTest {
    private static final Refusal FULL = Refusal.notRun(RefusalReason.QUEUE_FULL, 5, "full");
    private static final Refusal LOST = Refusal.unknown(RefusalReason.PEER_LOST, "lost");

    private static RetryBudget fullBudget() {
        RetryBudget budget = RetryBudget.create();
        for (int i = 0; i < 100; i++) {
            budget.recordRequest();
        }
        return budget;
    }

    /** Retries must not multiply the load when every attempt fails, in any order of events. */
    @Property(tries = 50, seed = "20261204")
    void attemptsNeverExceedElevenTenthsOfRequests(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget = RetryBudget.create();
        int requests = 0;
        int attempts = 0;
        for (int i = 0; i < 3000; i++) {
            if (random.nextInt(3) > 0) {
                requests++;
                attempts++;
                budget.recordRequest();
            }
            for (int sites = random.nextInt(6); sites > 0; sites--) {
                FailedAttempt attempted = new FailedAttempt(true, false, sites, 100);
                if (RetryDecision.decide(attempted, FULL, budget, 0) instanceof Retry) {
                    attempts++;
                }
            }
            assertThat(10L * attempts).isLessThanOrEqualTo(11L * requests);
        }
    }

    @Nested
    class Retryability {
        private RetryDecision decide(boolean idempotent, boolean answerStarted, Refusal refusal) {
            FailedAttempt attempted = new FailedAttempt(idempotent, answerStarted, 2, 100);
            return RetryDecision.decide(attempted, refusal, fullBudget(), 0);
        }

        /** A non-idempotent request that may have run must not be retried. */
        @Test
        void retriesLostRequestsOnlyIfIdempotent() {
            assertThat(decide(true, false, LOST)).isInstanceOf(Retry.class);
            assertThat(decide(false, false, LOST)).isEqualTo(new Fail(LOST));
            assertThat(decide(false, false, FULL)).isInstanceOf(Retry.class);
        }

        /** A retry after the answer started would send a second answer to the client. */
        @Test
        void neverRetriesAfterTheAnswerStarted() {
            assertThat(decide(true, true, LOST)).isEqualTo(new Fail(LOST));
        }
    }

    @Nested
    class Budget {
        /** The lost attempt may have run, so the refusal must not report it as not run. */
        @Test
        void keepsOutcomeOfLastAttemptWhenTheBudgetIsExhausted() {
            FailedAttempt attempted = new FailedAttempt(true, false, 2, 100);

            RetryDecision decision = RetryDecision.decide(attempted, LOST, RetryBudget.create(), 0);

            assertThat(decision)
                    .isInstanceOfSatisfying(
                            Fail.class,
                            g -> {
                                assertThat(g.answer().reason())
                                        .isEqualTo(RefusalReason.RETRY_BUDGET);
                                assertThat(g.answer().outcome()).isEqualTo(Outcome.UNKNOWN);
                            });
        }

        /** Requests that cannot be retried must not consume tokens. */
        @Test
        void consumesNoTokenWithoutSiteOrTime() {
            RetryBudget budget = fullBudget();

            RetryDecision.decide(new FailedAttempt(true, false, 0, 100), FULL, budget, 0);
            RetryDecision.decide(new FailedAttempt(true, false, 2, 100), FULL, budget, 100);

            assertThat(budget.tokens()).isEqualTo(10);
        }
    }
}
