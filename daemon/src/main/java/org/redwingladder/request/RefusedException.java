package org.redwingladder.request;

import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/** Carries the refusal of a request that cannot be served as it was sent. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal mRefusal;

    RefusedException(Refusal refusal) {
        super(refusal.message(), null, false, false);
        mRefusal = refusal;
    }

    /** Returns an exception for a request that has to be changed before it can be served. */
    static RefusedException notRun(RefusalReason reason, String message) {
        return new RefusedException(Refusal.notRun(reason, 0, message));
    }

    Refusal refusal() {
        return mRefusal;
    }
}
