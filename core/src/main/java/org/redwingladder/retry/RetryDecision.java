package org.redwingladder.retry;

import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/** Decides whether the ingress retries a failed request at the next site. */
public sealed interface RetryDecision permits RetryDecision.Retry, RetryDecision.Fail {

    /** Retries the request at the next site; a token of the retry budget has been consumed. */
    record Retry() implements RetryDecision {}

    /**
     * Fails the request without a retry.
     *
     * @param answer the final answer to the client
     */
    record Fail(Refusal answer) implements RetryDecision {}

    /**
     * A request whose last attempt was refused or lost.
     *
     * @param idempotent whether the request may run more than once
     * @param answerStarted whether any byte of an answer was sent to the client
     * @param untriedSites the number of sites that have not been tried
     * @param deadlineNanos the client's deadline
     */
    record FailedAttempt(
            boolean idempotent, boolean answerStarted, int untriedSites, long deadlineNanos) {}

    /**
     * Decides whether to retry a request, and consumes a token of the budget if so.
     *
     * @param refusal the failure of the last attempt
     * @param budget the retry budget of the request's service
     */
    static RetryDecision decide(
            FailedAttempt request, Refusal refusal, RetryBudget budget, long nowNanos) {
        boolean mayRepeat = refusal.outcome() == Outcome.NOT_RUN || request.idempotent();
        if (request.answerStarted() || !mayRepeat || !retryableElsewhere(refusal.reason())) {
            return new Fail(refusal);
        }
        if (request.untriedSites() <= 0 || request.deadlineNanos() <= nowNanos) {
            return new Fail(refusal);
        }
        if (!budget.tryAcquire()) {
            // The outcome is that of the last attempt, which may have run.
            return new Fail(
                    new Refusal(
                            RefusalReason.RETRY_BUDGET,
                            refusal.outcome(),
                            refusal.retryAtMillis(),
                            "retry budget exhausted after " + refusal.reason().wireName()));
        }
        return new Retry();
    }

    /** Returns whether a request that failed for {@code reason} may succeed at another site. */
    private static boolean retryableElsewhere(RefusalReason reason) {
        return switch (reason) {
            case CAP_RATE,
                    CAP_IN_FLIGHT,
                    LINK_FULL,
                    QUEUE_FULL,
                    NO_BACKEND,
                    NOT_OWNER,
                    NOT_CONFIRMED,
                    NOT_READY,
                    STOPPING,
                    BACKEND_LOST,
                    BACKEND_BAD_ANSWER,
                    BACKEND_SHED,
                    PEER_LOST ->
                    true;
            case BAD_REQUEST,
                    UNKNOWN_SERVICE,
                    BODY_TOO_LARGE,
                    DEADLINE_EXPIRED,
                    RETRY_BUDGET,
                    HOP_LIMIT,
                    TOKEN_INVALID,
                    TOKEN_EXPIRED,
                    TOKEN_SPENT,
                    TOKEN_FOREIGN,
                    CLAIM_EXISTS,
                    PLATFORM_UNAVAILABLE ->
                    false;
        };
    }
}
