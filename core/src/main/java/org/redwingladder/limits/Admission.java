package org.redwingladder.limits;

import org.redwingladder.api.RefusalReason;

/** The admission decision for one request. */
public sealed interface Admission permits Admission.Admitted, Admission.Refused {

    /**
     * Admits a request, which counts against the in-flight caps until {@link
     * AdmissionController#release} or {@link AdmissionController#releaseAt} is called.
     */
    final class Admitted implements Admission {
        private final AdmissionController.CapState[] mCaps;
        private boolean mReleased;

        Admitted(AdmissionController.CapState[] caps) {
            mCaps = caps;
        }

        AdmissionController.CapState[] caps() {
            return mCaps;
        }

        boolean markReleased() {
            boolean first = !mReleased;
            mReleased = true;
            return first;
        }
    }

    /**
     * Refuses a request.
     *
     * @param reason the kind of cap that is exhausted
     * @param cap the name of the cap, or the remote region of the link
     * @param retryAtNanos the earliest instant at which the cap may admit a request
     */
    record Refused(RefusalReason reason, String cap, long retryAtNanos) implements Admission {}
}
