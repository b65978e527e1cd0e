package org.redwingladder.entry;

/** Reports a call to the platform's store that failed or whose outcome is unknown. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Names why a call failed. */
    public enum Reason {
        /** No usable answer arrived; a write may have been done or may be done later. */
        NO_ANSWER,
        /** The store is busy or turned the call away; nothing was done. */
        REFUSED,
        /** The changes that were asked for are no longer kept. */
        HISTORY_LOST,
        /** The answer does not follow the store's protocol. */
        MALFORMED
    }

    private final Reason mReason;

    /** Creates a report. */
    public StoreException(Reason reason, String message) {
        super(message);
        mReason = reason;
    }

    /** Returns why the call failed. */
    public Reason reason() {
        return mReason;
    }
}
