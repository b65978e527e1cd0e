package org.redwingladder.limits;

import org.redwingladder.api.RefusalReason;

/** Tells whether the caps of a site let a request in. */
public sealed interface Admission permits Admission.Admitted, Admission.Refused {

    /** Holds a request's places under the caps until {@link SiteLimits#release} is called. */
    final class Admitted implements Admission {
        private final SiteLimits.CapState[] mCaps;
        private boolean mReleased;

        Admitted(SiteLimits.CapState[] caps) {
            mCaps = caps;
        }

        SiteLimits.CapState[] caps() {
            return mCaps;
        }

        boolean releaseOnce() {
            boolean first = !mReleased;
            mReleased = true;
            return first;
        }
    }

    /**
     * Refuses a request.
     *
     * @param reason which kind of cap is reached
     * @param cap the name of the cap or link
     * @param retryAtNanos when the cap may let a request in again
     */
    record Refused(RefusalReason reason, String cap, long retryAtNanos) implements Admission {}
}
