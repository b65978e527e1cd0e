package org.redwingladder.http;

/** Thrown if the response was lost after sending began: the request may have been executed. */
public final class ResponseLostException extends CallException {

    /** How a response was lost. */
    public enum Cause {
        /** The connection was closed or reset before the response was complete. */
        CUT_OFF,
        /** The deadline passed before the response was complete. */
        DEADLINE,
        /** The caller cancelled the call. */
        CANCELLED,
        /** The receiver of a streamed response disconnected. */
        RECEIVER_GONE
    }

    private final Cause mCause;
    private final long mIdleNanos;

    ResponseLostException(Cause cause, String message) {
        this(cause, message, 0);
    }

    ResponseLostException(Cause cause, String message, long idleNanos) {
        super(message);
        mCause = cause;
        mIdleNanos = idleNanos;
    }

    /**
     * Returns how long the connection had been idle before the request was sent, in nanoseconds; 0
     * if it was new.
     */
    public long idleNanos() {
        return mIdleNanos;
    }

    /** Returns how the response was lost. */
    public Cause reason() {
        return mCause;
    }

    @Override
    public boolean neverSent() {
        return false;
    }
}
