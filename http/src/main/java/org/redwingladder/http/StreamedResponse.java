package org.redwingladder.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;

/** Holds the head of an answer whose body has not been read whole. */
public interface StreamedResponse {

    /** Receives the end of a transfer. Exactly one method is called, once, on an I/O thread. */
    interface TransferHandler {

        /** Reports that the whole answer was handed on. */
        void transferred(long bytes);

        /** Reports that the transfer ended early; the receiver's connection was closed. */
        void failed(CallException cause);
    }

    /** Spaces the pieces of a transfer. */
    interface Pacer {

        /** Returns how long to wait in nanoseconds before {@code bytes} more may be written. */
        long delayNanos(int bytes);
    }

    /** Returns the HTTP status code. */
    int status();

    /** Returns the answer's headers. */
    HeaderMap headers();

    /** Returns the length of the body, or -1 if the answer is chunked. */
    long length();

    /**
     * Hands the body on without holding more than one buffer of it. The exchange must be
     * dispatched, with its status and headers set. If the answer is cut off the exchange's
     * connection is closed without completing the body.
     */
    void transferTo(HttpServerExchange exchange, Pacer pacer, TransferHandler handler);

    /** Gives the answer up by closing its connection; the handler learns that it was cancelled. */
    void discard(TransferHandler handler);
}
