package org.redwingladder.http;

/** Reports that no byte of a request was sent: the work certainly did not run. */
public final class NotSentException extends CallException {

    /** Names why a request was not sent. */
    public enum Cause {
        /** The address refused the connection or could not be reached. */
        REFUSED,
        /** All connections to the address are in use. */
        POOL_FULL,
        /** The deadline passed before a connection was available. */
        DEADLINE,
        /** The caller cancelled the call. */
        CANCELLED,
        /** The caller is closed. */
        CLOSED
    }

    private final Cause mCause;

    NotSentException(Cause cause, String message) {
        super(message);
        mCause = cause;
    }

    /** Returns why the request was not sent. */
    public Cause reason() {
        return mCause;
    }

    @Override
    public boolean neverSent() {
        return true;
    }
}
