package org.redwingladder.http;

/**
 * Callback for the result of a call. Exactly one method is called, once, on an I/O thread; it must
 * not block.
 */
public interface ResponseHandler {

    /** Called with a complete response whose body is buffered in memory. */
    void buffered(BufferedResponse response);

    /**
     * Called with the head of a response whose body exceeds the buffer limit. The handler must
     * transfer or discard the response.
     */
    void streamed(StreamedResponse response);

    /** Called with the reason why there is no usable response. */
    void failed(CallException cause);
}
