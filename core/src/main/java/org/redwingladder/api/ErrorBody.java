package org.redwingladder.api;

/**
 * Carries a refusal in an HTTP answer.
 *
 * @param error the refusal
 */
public record ErrorBody(Detail error) {

    /**
     * Holds the members of the error object.
     *
     * @param reason why the request was refused
     * @param outcome whether the work may have run
     * @param retryAt when to come back, in epoch milliseconds; 0 if a retry cannot help
     * @param message one sentence for people
     * @param requestId the id of the refused request
     */
    public record Detail(
            RefusalReason reason,
            Outcome outcome,
            long retryAt,
            String message,
            String requestId) {}

    /** Returns the body that carries {@code refusal} of the request {@code requestId}. */
    public static ErrorBody of(Refusal refusal, String requestId) {
        return new ErrorBody(
                new Detail(
                        refusal.reason(),
                        refusal.outcome(),
                        refusal.retryAtMillis(),
                        refusal.message(),
                        requestId));
    }

    /** Returns the refusal that this body carries. */
    public Refusal refusal() {
        return new Refusal(error.reason(), error.outcome(), error.retryAt(), error.message());
    }
}
