package org.redwingladder.tool;

/**
 * Describes one piece of work of a client, however many attempts it takes.
 *
 * @param id names the work; attempt N carries the request id {@code id.N}
 * @param service the service
 * @param block the client block
 * @param method the HTTP method
 * @param path the path below the service, with a leading slash, and the query
 * @param body the request body; the receiver must not change it
 * @param once whether the work is to carry a token, so that it runs at most once
 * @param deadlineMillis when the client stops waiting, in epoch milliseconds
 * @param answerBytes the size of the whole answer; -1 if it is not known
 */
@SuppressWarnings("ArrayRecordComponent")
record Work(
        String id,
        String service,
        int block,
        String method,
        String path,
        byte[] body,
        boolean once,
        long deadlineMillis,
        int answerBytes) {

    /** Returns whether the work may run any number of times. */
    boolean isIdempotent() {
        return method.equals("GET") || method.equals("HEAD");
    }

    String attemptId(int number) {
        return id + "." + number;
    }

    /** Returns whether {@code requestId} names an attempt of this work. */
    boolean owns(String requestId) {
        return requestId.startsWith(id + ".");
    }
}
