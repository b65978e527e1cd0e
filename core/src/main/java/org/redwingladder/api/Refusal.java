package org.redwingladder.api;

import static java.util.Objects.requireNonNull;

/**
 * The refusal of a request, with its reason and whether a retry is safe.
 *
 * @param reason why the request was refused
 * @param outcome whether the work may have run
 * @param retryAtMillis when to retry, in epoch milliseconds; 0 if a retry cannot help
 * @param message a human-readable sentence
 */
public record Refusal(RefusalReason reason, Outcome outcome, long retryAtMillis, String message) {

    public Refusal {
        requireNonNull(reason, "reason");
        requireNonNull(outcome, "outcome");
        requireNonNull(message, "message");
    }

    /** Returns a refusal of work that certainly did not run. */
    public static Refusal notRun(RefusalReason reason, long retryAtMillis, String message) {
        return new Refusal(reason, Outcome.NOT_RUN, retryAtMillis, message);
    }

    /** Returns a refusal of work that may have run, so that a retry may run it again. */
    public static Refusal unknown(RefusalReason reason, String message) {
        return new Refusal(reason, Outcome.UNKNOWN, 0, message);
    }
}
