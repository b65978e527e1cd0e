package org.redwingladder.bench;

import org.redwingladder.routing.SiteTuning;

/**
 * Holds what a run of our policy takes as parameters.
 *
 * @param tuning the numbers of the dispatchers
 * @param rampNanos how long cold backend servers ramp
 * @param longSlotsPercent the share of the slots that long work may hold
 * @param capShare the cap from each other region as a share of a site's capacity; 0 for none
 * @param retryAtWill whether the ingress retries without a budget
 */
record PolicyOptions(
        SiteTuning tuning,
        long rampNanos,
        int longSlotsPercent,
        double capShare,
        boolean retryAtWill) {

    static PolicyOptions standard() {
        return new PolicyOptions(SiteTuning.standard(), 10_000_000_000L, 66, 0, false);
    }

    PolicyOptions withTuning(SiteTuning other) {
        return new PolicyOptions(other, rampNanos, longSlotsPercent, capShare, retryAtWill);
    }

    PolicyOptions withRamp(long nanos) {
        return new PolicyOptions(tuning, nanos, longSlotsPercent, capShare, retryAtWill);
    }

    PolicyOptions withLongSlots(int percent) {
        return new PolicyOptions(tuning, rampNanos, percent, capShare, retryAtWill);
    }

    PolicyOptions withCaps(double share) {
        return new PolicyOptions(tuning, rampNanos, longSlotsPercent, share, retryAtWill);
    }

    PolicyOptions withRetryAtWill() {
        return new PolicyOptions(tuning, rampNanos, longSlotsPercent, capShare, true);
    }
}
