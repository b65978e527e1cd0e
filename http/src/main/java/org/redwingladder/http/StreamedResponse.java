package org.redwingladder.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;

/** The head of a response whose body has not been read completely. */
public interface StreamedResponse {

    /** Callback for the end of a transfer. Exactly one method is called, once, on an I/O thread. */
    interface TransferHandler {

        /** Called when the complete body, of {@code bytes} bytes, was forwarded. */
        void transferred(long bytes);

        /** Called when the transfer failed; the receiver's connection was closed. */
        void failed(CallException cause);
    }

    /** Limits the rate of a transfer by delaying chunks. */
    interface Pacer {

        /** Returns the delay in nanoseconds before {@code bytes} more bytes may be written. */
        long delayNanos(int bytes);
    }

    /** Returns the HTTP status code. */
    int status();

    /** Returns the response headers. */
    HeaderMap headers();

    /** Returns the length of the body, a negative value if it is not known in advance. */
    long length();

    /**
     * Forwards the body, with at most one buffer of it in memory. The exchange must be dispatched,
     * with its status and headers set. If the response is truncated, the exchange's connection is
     * closed without completing the body.
     */
    void transferTo(HttpServerExchange exchange, Pacer pacer, TransferHandler handler);

    /** Returns whether a transfer waits, or waited at its end, for the receiver to read. */
    boolean receiverBlocked();

    /**
     * Discards the response by closing its connection; the handler is called with a cancellation.
     */
    void discard(TransferHandler handler);
}
