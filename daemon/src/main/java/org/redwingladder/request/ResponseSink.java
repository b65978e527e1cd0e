package org.redwingladder.request;

import org.redwingladder.api.Refusal;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.StreamedResponse;

/**
 * Receives the final response to a request.
 *
 * <p>Exactly one of {@link #whole}, {@link #streamed} and {@link #refused} is called, once.
 */
interface ResponseSink {

    /**
     * Receives the queueing delay that a request of the same class would now have at the site, in
     * nanoseconds. Called at most once, before the final response.
     */
    default void expectedWait(long nanos) {}

    /** Receives a backend server's response that is buffered in memory. */
    void whole(BufferedResponse answer, String backend);

    /**
     * Receives the head of a backend server's response whose body has to be streamed to the
     * receiver.
     */
    void streamed(StreamedResponse answer, String backend, Transfer transfer);

    /** Receives the refusal of the request. */
    void refused(Refusal refusal);

    /**
     * The transfer of a streamed response body.
     *
     * @param pacer limits the bit rate by delaying chunks
     * @param handler is notified when the transfer completes or fails
     */
    record Transfer(StreamedResponse.Pacer pacer, StreamedResponse.TransferHandler handler) {}
}
