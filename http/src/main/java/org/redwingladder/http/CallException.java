package org.redwingladder.http;

import java.io.IOException;

/**
 * Reports a call without a usable answer. The subtype says whether the work may have run.
 *
 * <p>Instances carry no stack trace: they are created on the request path and report a fault of
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

    /** Returns whether no byte of the request was sent, so that the work certainly did not run. */
    public abstract boolean neverSent();
}
