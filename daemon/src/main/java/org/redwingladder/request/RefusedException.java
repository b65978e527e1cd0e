package org.redwingladder.request;

import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/** Thrown if a request is refused before it is run; carries the refusal. Has no stack trace. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal mRefusal;

    RefusedException(Refusal refusal) {
        super(refusal.message(), null, false, false);
        mRefusal = refusal;
    }

    /** Returns an exception for a request that was not run and for which a retry cannot help. */
    static RefusedException notRun(RefusalReason reason, String message) {
        return new RefusedException(Refusal.notRun(reason, 0, message));
    }

    Refusal refusal() {
        return mRefusal;
    }
}
