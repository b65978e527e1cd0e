package org.redwingladder.http;

/**
 * Receives the result of a call. Exactly one method is called, once, on an I/O thread; it must not
 * block.
 */
public interface ResponseHandler {

    /** Receives an answer whose body was read whole. */
    void buffered(BufferedResponse response);

    /**
     * Receives the head of an answer that is longer than the limit for whole answers. The receiver
     * must transfer or discard it.
     */
    void streamed(StreamedResponse response);

    /** Receives the reason why there is no usable answer. */
    void failed(CallException cause);
}
