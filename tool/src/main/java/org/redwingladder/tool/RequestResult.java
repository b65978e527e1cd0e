package org.redwingladder.tool;

import java.util.List;

/**
 * Tells what became of a piece of work.
 *
 * @param work the work
 * @param end how it ended
 * @param attempts all attempts in their order; empty if there was no entry host to ask
 * @param message one sentence for people
 */
record RequestResult(Work work, End end, List<Attempt> attempts, String message) {

    /** Names how work ends. */
    enum End {
        ANSWERED,
        REFUSED,
        UNKNOWN
    }

    /**
     * Describes one attempt.
     *
     * @param requestId the attempt's request id
     * @param address the entry host's address
     * @param sentAt when it was sent, in epoch milliseconds
     * @param endedAt when it ended, in epoch milliseconds
     * @param result what became of it
     */
    record Attempt(
            String requestId, String address, long sentAt, long endedAt, AttemptResult result) {}

    RequestResult {
        attempts = List.copyOf(attempts);
    }
}
