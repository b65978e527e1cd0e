package org.redwingladder.routing;

/**
 * Holds the numbers that {@code ./scripts/bench policy} has tuned.
 *
 * @param hedgeQuantile which quantile of a class's service times counts as the end of the ordinary
 * @param hedgeDelayFactor after how many times that quantile it is hedged
 * @param extraAttemptsPercent how much extra work hedges and probes may make, in percent of the requests
 * @param ejectionThreshold how far above its class's quantile a backend server's times may add up, in
 *     multiples of that quantile, before it is ejected
 * @param baseEjectionNanos how long the first ejection lasts; each further one lasts twice as long
 * @param maxEjectionNanos how long an ejection lasts at most
 * @param maxWaitNanos how long a request may be expected to wait for a slot, if its deadline allows
 * @param maxWaitServiceTimes the same, in multiples of its class's mean service time; the larger counts
 * @param reserveFactor how many square roots of the slots in use by short work are kept free for it
 */
public record SiteTuning(
        double hedgeQuantile,
        double hedgeDelayFactor,
        double extraAttemptsPercent,
        double ejectionThreshold,
        long baseEjectionNanos,
        long maxEjectionNanos,
        long maxWaitNanos,
        double maxWaitServiceTimes,
        double reserveFactor) {

    /** Returns the numbers that entry hosts use. */
    public static SiteTuning standard() {
        return new SiteTuning(0.95, 1, 5, 3, 50_000_000L, 200_000_000L, 100_000_000L, 4, 1.5);
    }
}
