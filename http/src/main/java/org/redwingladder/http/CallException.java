package org.redwingladder.http;

import java.io.IOException;

/**
 * Thrown if a call has no usable response. The subtype tells whether the request may have been
 * executed.
 *
 * <p>Instances carry no stack trace: they are created on the request path and report a failure of
 * another process.
 */
public abstract sealed class CallException extends IOException
        permits NotSentException, ResponseLostException, InvalidResponseException {

    CallException(String message) {
        super(message);
    }

    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }

    /** Returns whether no byte of the request was sent, so that it was certainly not executed. */
    public abstract boolean neverSent();
}
