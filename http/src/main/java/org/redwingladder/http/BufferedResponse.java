package org.redwingladder.http;

import io.undertow.util.HeaderMap;
import org.jspecify.annotations.Nullable;

/**
 * A complete response with its body in memory.
 *
 * @param status the HTTP status code
 * @param headers the response headers
 * @param body the body; the receiver must not change it
 * @param reservation the memory that the request's budget reserves for the body, which the receiver
 *     has to release; null if the request names no budget
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(
        int status,
        HeaderMap headers,
        byte[] body,
        BufferBudget.@Nullable Reservation reservation) {

    /** Creates a response whose memory is not limited by a budget. */
    public BufferedResponse(int status, HeaderMap headers, byte[] body) {
        this(status, headers, body, null);
    }

    /** Returns the memory of the body to the budget of the request; has no effect without one. */
    public void release() {
        if (reservation != null) {
            reservation.release();
        }
    }
}
