package org.redwingladder.http;

/** Reports that the answer was lost after sending began: the work may have run. */
public final class ResponseLostException extends CallException {

    /** Names how an answer was lost. */
    public enum Cause {
        /** The connection ended before the answer was complete. */
        CUT_OFF,
        /** The deadline passed before the answer was complete. */
        DEADLINE,
        /** The caller cancelled the call. */
        CANCELLED,
        /** The receiver of a streamed answer went away. */
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
     * Returns for how long the connection had been unused before the request was sent, in
     * nanoseconds; 0 if it was new.
     */
    public long idleNanos() {
        return mIdleNanos;
    }

    /** Returns how the answer was lost. */
    public Cause reason() {
        return mCause;
    }

    @Override
    public boolean neverSent() {
        return false;
    }
}
