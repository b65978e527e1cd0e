package org.redwingladder.entry;

import org.redwingladder.steering.BalancerDecision;

/** Decides when a request is sent to a second server while the first one works on it. */
final class HedgePolicy {
    /** An attempt that takes this many times its expected time is likely to be a straggler. */
    private static final double DELAY_FACTOR = 2.2;

    /**
     * The longest expected queueing time of a hedge, as a multiple of its service time; a hedge
     * helps only if it starts nearly at once.
     */
    private static final double MAX_WAIT_FACTOR = 0.15;

    private static final long MIN_DELAY_NANOS = 20_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    private HedgePolicy() {}

    /** Returns how long after the first attempt a hedge is considered, in nanoseconds. */
    static long delayNanos(BalancerDecision.Send first) {
        double millis = DELAY_FACTOR * (first.waitMillis() + first.serviceMillis());
        return Math.max(MIN_DELAY_NANOS, (long) (millis * NANOS_PER_MILLI));
    }

    /** Returns whether a hedge would start soon enough to help. */
    static boolean isWorthwhile(BalancerDecision.Send hedge) {
        return hedge.waitMillis() <= MAX_WAIT_FACTOR * hedge.serviceMillis();
    }
}
