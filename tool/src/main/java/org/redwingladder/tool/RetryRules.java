package org.redwingladder.tool;

import java.util.EnumSet;
import java.util.Set;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/** Decides what a client does after an attempt. */
final class RetryRules {
    /** Refusals that concern one entry host, so that another one is worth a try at once. */
    private static final Set<RefusalReason> HOST_REASONS =
            EnumSet.of(
                    RefusalReason.STOPPING,
                    RefusalReason.NOT_READY,
                    RefusalReason.NOT_CONFIRMED,
                    RefusalReason.NOT_OWNER,
                    RefusalReason.HOP_LIMIT,
                    RefusalReason.PEER_LOST);

    private RetryRules() {}

    /** Tells what to do next. */
    sealed interface Next {}

    /** Ends the work: there is an answer. */
    record Done() implements Next {}

    /** Ends the work: it has certainly not run. */
    record Refused() implements Next {}

    /** Ends the work: it may have run. */
    record Unknown() implements Next {}

    /**
     * Tries again.
     *
     * @param notBefore when, in epoch milliseconds
     * @param sameToken whether the attempt must carry the token of the attempts before
     */
    record Again(long notBefore, boolean sameToken) implements Next {}

    /**
     * Returns what to do after an attempt.
     *
     * @param result what became of the attempt
     * @param mayHaveRun whether an earlier attempt of the same work may have run
     * @param nowMillis the current time, in epoch milliseconds
     */
    static Next after(Work work, AttemptResult result, boolean mayHaveRun, long nowMillis) {
        return switch (result) {
            case AttemptResult.Whole whole -> new Done();
            case AttemptResult.NeverSent neverSent -> again(work, mayHaveRun, nowMillis, nowMillis);
            case AttemptResult.Lost lost -> afterLoss(work, nowMillis);
            case AttemptResult.Wrong wrong -> afterLoss(work, nowMillis);
            case AttemptResult.Refused refused ->
                    afterRefusal(work, refused.refusal(), mayHaveRun, nowMillis);
        };
    }

    /** A token's host runs the work at most once, so that asking again with it is safe. */
    private static Next afterLoss(Work work, long nowMillis) {
        return work.isIdempotent() || work.once()
                ? again(work, true, nowMillis, nowMillis)
                : new Unknown();
    }

    private static Next afterRefusal(
            Work work, Refusal refusal, boolean mayHaveRun, long nowMillis) {
        if (refusal.outcome() == Outcome.UNKNOWN) {
            return work.isIdempotent() ? again(work, true, nowMillis, nowMillis) : new Unknown();
        }
        if (refusal.retryAtMillis() > 0) {
            return again(work, mayHaveRun, refusal.retryAtMillis(), nowMillis);
        }
        if (HOST_REASONS.contains(refusal.reason())) {
            return again(work, mayHaveRun, nowMillis, nowMillis);
        }
        return ended(mayHaveRun);
    }

    private static Next again(Work work, boolean mayHaveRun, long at, long nowMillis) {
        return Math.max(at, nowMillis) < work.deadlineMillis()
                ? new Again(Math.max(at, nowMillis), mayHaveRun)
                : ended(mayHaveRun);
    }

    /** Returns how work without an answer ends. */
    static Next ended(boolean mayHaveRun) {
        return mayHaveRun ? new Unknown() : new Refused();
    }
}
