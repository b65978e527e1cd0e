package org.redwingladder.standin;

import java.util.Arrays;

/**
 * A backend server's response. The body starts with the request id and a line feed, so that a
 * receiver can detect a response to another request.
 *
 * @param requestId the id of the request that this responds to
 * @param body the body
 */
record BackendResponse(String requestId, byte[] body) {
    private static final byte[] FILLER = Exchanges.utf8("abcdefghijklmnopqrstuvwxyz012345\n");

    /** Returns a response to {@code requestId} with a body of {@code size} bytes. */
    static BackendResponse of(String requestId, int size) {
        byte[] head = Exchanges.utf8(requestId + "\n");
        byte[] body = Arrays.copyOf(head, size);
        for (int i = head.length; i < size; i += FILLER.length) {
            System.arraycopy(FILLER, 0, body, i, Math.min(FILLER.length, size - i));
        }
        return new BackendResponse(requestId, body);
    }
}
