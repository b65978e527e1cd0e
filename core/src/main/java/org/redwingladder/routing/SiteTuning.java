package org.redwingladder.routing;

/**
 * The tuning parameters of a dispatcher, chosen with {@code ./scripts/bench policy}.
 *
 * @param hedgeQuantile the quantile of a class's service times that hedging and ejection refer to
 * @param hedgeDelayFactor the hedge delay, in multiples of that quantile
 * @param extraAttemptsPercent the budget of hedges and probes, in percent of the requests
 * @param ejectionThreshold the sum of a backend server's excess over the quantile, in multiples of
 *     the quantile, at which it is ejected
 * @param baseEjectionNanos how long the first ejection lasts; each further one doubles it
 * @param maxEjectionNanos the longest duration of an ejection
 * @param maxWaitNanos the longest expected wait for a slot with which a request is queued, if its
 *     deadline allows
 * @param maxWaitServiceTimes the same, in multiples of the class's mean service time; the larger of
 *     both applies
 * @param reserveFactor the slots reserved for variation of short work, in multiples of the square
 *     root of the slots that it uses
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

    /** Returns the parameters that entry hosts use. */
    public static SiteTuning standard() {
        return new SiteTuning(0.95, 1, 5, 3, 50_000_000L, 200_000_000L, 100_000_000L, 4, 1.5);
    }
}
