package org.redwingladder.retry;

import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/** Tells whether the ingress tries a request at the next site. */
public sealed interface RetryDecision permits RetryDecision.Retry, RetryDecision.GiveUp {

    /** Sends the request to the next site; a token of the budget is taken. */
    record Retry() implements RetryDecision {}

    /**
     * Gives the request up.
     *
     * @param answer the final answer to the client
     */
    record GiveUp(Refusal answer) implements RetryDecision {}

    /**
     * Describes a request whose attempt was refused or lost.
     *
     * @param idempotent whether the work may run twice
     * @param answerBegun whether a byte of an answer was sent to the client
     * @param sitesLeft how many sites have not been tried
     * @param deadlineNanos when the client stops waiting
     */
    record Attempted(boolean idempotent, boolean answerBegun, int sitesLeft, long deadlineNanos) {}

    /**
     * Decides on the next attempt.
     *
     * @param refusal how the last attempt ended
     * @param budget the budget of the request's service
     */
    static RetryDecision decide(
            Attempted request, Refusal refusal, RetryBudget budget, long nowNanos) {
        boolean mayRepeat = refusal.outcome() == Outcome.NOT_RUN || request.idempotent();
        if (request.answerBegun() || !mayRepeat || !helpsElsewhere(refusal.reason())) {
            return new GiveUp(refusal);
        }
        if (request.sitesLeft() <= 0 || request.deadlineNanos() <= nowNanos) {
            return new GiveUp(refusal);
        }
        if (!budget.tryTake()) {
            // The outcome stays that of the last attempt: the budget says nothing about it.
            return new GiveUp(
                    new Refusal(
                            RefusalReason.RETRY_BUDGET,
                            refusal.outcome(),
                            refusal.retryAtMillis(),
                            "retry budget spent after " + refusal.reason().wireName()));
        }
        return new Retry();
    }

    /** Returns whether another site may answer a request that was refused for {@code reason}. */
    private static boolean helpsElsewhere(RefusalReason reason) {
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
