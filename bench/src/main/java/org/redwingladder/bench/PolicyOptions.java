package org.redwingladder.bench;

import org.redwingladder.routing.SiteTuning;

/**
 * Holds what a run of our policy takes as parameters.
 *
 * @param tuning the numbers of the dispatchers
 * @param rampNanos how long cold backend servers ramp
 * @param longSlotsPercent the share of the slots that long work may hold
 * @param capShare the cap of each site as a share of its capacity; 0 for none
 * @param retryAtWill whether the ingress retries without a budget
 * @param loads whether sites' owners tell the ingress how long work waits
 * @param deadlines whether site owners know the requests' deadlines
 * @param patience whether the ingress says how long a request would rather wait than go on
 */
record PolicyOptions(
        SiteTuning tuning,
        long rampNanos,
        int longSlotsPercent,
        double capShare,
        boolean retryAtWill,
        boolean loads,
        boolean deadlines,
        boolean patience) {

    static PolicyOptions standard() {
        return new PolicyOptions(
                SiteTuning.standard(), 10_000_000_000L, 66, 0, false, true, true, true);
    }

    PolicyOptions withTuning(SiteTuning other) {
        return new PolicyOptions(
                other,
                rampNanos,
                longSlotsPercent,
                capShare,
                retryAtWill,
                loads,
                deadlines,
                patience);
    }

    PolicyOptions withRamp(long nanos) {
        return new PolicyOptions(
                tuning, nanos, longSlotsPercent, capShare, retryAtWill, loads, deadlines, patience);
    }

    PolicyOptions withLongSlots(int percent) {
        return new PolicyOptions(
                tuning, rampNanos, percent, capShare, retryAtWill, loads, deadlines, patience);
    }

    PolicyOptions withCaps(double share) {
        return new PolicyOptions(
                tuning,
                rampNanos,
                longSlotsPercent,
                share,
                retryAtWill,
                loads,
                deadlines,
                patience);
    }

    PolicyOptions withRetryAtWill() {
        return new PolicyOptions(
                tuning, rampNanos, longSlotsPercent, capShare, true, loads, deadlines, patience);
    }

    PolicyOptions withoutLoads() {
        return new PolicyOptions(
                tuning,
                rampNanos,
                longSlotsPercent,
                capShare,
                retryAtWill,
                false,
                deadlines,
                patience);
    }

    PolicyOptions withoutDeadlines() {
        return new PolicyOptions(
                tuning, rampNanos, longSlotsPercent, capShare, retryAtWill, loads, false, patience);
    }

    PolicyOptions withoutPatience() {
        return new PolicyOptions(
                tuning,
                rampNanos,
                longSlotsPercent,
                capShare,
                retryAtWill,
                loads,
                deadlines,
                false);
    }
}
