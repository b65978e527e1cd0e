package org.redwingladder.tool;

import org.redwingladder.api.Refusal;

/** Tells what became of one attempt. */
sealed interface AttemptResult {

    /** Returns a short name for reports. */
    String reason();

    /**
     * Holds a whole answer to the attempt's own request.
     *
     * @param status the HTTP status
     * @param body the body
     * @param backend the backend server's name, empty if not told
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Whole(int status, byte[] body, String backend) implements AttemptResult {
        @Override
        public String reason() {
            return "status-" + status;
        }
    }

    /**
     * Tells that no byte was sent, so that the work did not run.
     *
     * @param reason why, as a short name
     */
    record NeverSent(String reason) implements AttemptResult {}

    /**
     * Tells that the entry host refused the attempt.
     *
     * @param refusal the refusal
     */
    record Refused(Refusal refusal) implements AttemptResult {
        @Override
        public String reason() {
            return refusal.reason().wireName();
        }
    }

    /**
     * Tells that no answer came, or only a part of one, so that the work may have run.
     *
     * @param reason why, as a short name
     * @param detail what was seen, for people
     */
    record Lost(String reason, String detail) implements AttemptResult {}

    /**
     * Tells that a complete answer came that does not fit the request: another id or another size.
     *
     * @param reason what is wrong, as a short name
     */
    record Wrong(String reason) implements AttemptResult {}
}
