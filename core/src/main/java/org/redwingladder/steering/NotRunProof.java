package org.redwingladder.steering;

import static java.util.Objects.requireNonNull;

/**
 * The proof that a request has not run and never will. No response may promise so without one.
 *
 * <p>Proofs of requests that were sent come from an {@link AttemptTracker} only.
 */
public final class NotRunProof {
    private static final NotRunProof UNSENT = new NotRunProof("host:UNSENT");

    private final String mBasis;

    private NotRunProof(String basis) {
        mBasis = requireNonNull(basis);
    }

    /** Returns the proof of a request for which no attempt was started. */
    public static NotRunProof ofUnsentRequest() {
        return UNSENT;
    }

    /** Returns the proof of a request of which each attempt ended without a run. */
    static NotRunProof ofAttempts(String basis) {
        return new NotRunProof(basis);
    }

    /** Returns who said that the request has not run, and why, for logs. */
    @Override
    public String toString() {
        return mBasis;
    }
}
