package org.redwingladder.api;

/**
 * The body of an HTTP response that refuses a request.
 *
 * @param error the refusal
 */
public record ErrorBody(Detail error) {

    /**
     * The members of the error object.
     *
     * @param reason why the request was refused
     * @param outcome whether the work may have run
     * @param retryAt when to retry, in epoch milliseconds; 0 if a retry cannot help
     * @param message a human-readable sentence
     * @param requestId the id of the refused request
     */
    public record Detail(
            RefusalReason reason,
            Outcome outcome,
            long retryAt,
            String message,
            String requestId) {}

    /** Returns the body for {@code refusal} of the request {@code requestId}. */
    public static ErrorBody of(Refusal refusal, String requestId) {
        return new ErrorBody(
                new Detail(
                        refusal.reason(),
                        refusal.outcome(),
                        refusal.retryAtMillis(),
                        refusal.message(),
                        requestId));
    }

    /** Returns the refusal that this body represents. */
    public Refusal refusal() {
        return new Refusal(error.reason(), error.outcome(), error.retryAt(), error.message());
    }
}
