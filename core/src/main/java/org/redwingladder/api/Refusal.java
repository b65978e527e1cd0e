package org.redwingladder.api;

import static java.util.Objects.requireNonNull;

/**
 * Tells a client why its request was refused.
 *
 * @param reason why the request was refused
 * @param outcome whether the work may have run
 * @param retryAtMillis when to come back, in epoch milliseconds; 0 if a retry cannot help
 * @param message one sentence for people
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

    /** Returns a refusal of work that may have run; a retry is the client's decision. */
    public static Refusal unknown(RefusalReason reason, String message) {
        return new Refusal(reason, Outcome.UNKNOWN, 0, message);
    }
}
