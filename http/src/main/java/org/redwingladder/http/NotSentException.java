package org.redwingladder.http;

/** Thrown if no byte of a request was sent, so that it was certainly not executed. */
public final class NotSentException extends CallException {

    /** Why a request was not sent. */
    public enum Cause {
        /** No process listens at the address, which can be reached. */
        NOT_LISTENING,
        /** The address could not be reached, or closed the new connection. */
        REFUSED,
        /** All connections to the address are in use. */
        POOL_FULL,
        /** The deadline passed before a connection was available. */
        DEADLINE,
        /** The caller cancelled the call. */
        CANCELLED,
        /** The {@linkplain CallRequest#sendCondition send condition} no longer held. */
        WITHDRAWN,
        /** The HTTP client is closed. */
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
