package org.redwingladder.routing;

/**
 * Decides when a request is sent a second time.
 *
 * <p>The delay is a quantile of the class's service times, and extra attempts, probes included, are
 * paid from a budget that each request fills by a few percent. Not thread-safe.
 */
public final class HedgePolicy {
    /** Lets a spell that slows several backend servers at once be hedged out of savings. */
    private static final double MAX_TOKENS = 20;

    private final double mEarned;
    private final double mAfter;
    private double mTokens;

    /** Creates a policy with an empty budget. */
    HedgePolicy(SiteTuning tuning) {
        mEarned = tuning.extraAttemptsPercent() / 100;
        mAfter = tuning.hedgeDelayFactor();
    }

    /** Counts a request, which earns a part of a token. */
    void sent() {
        mTokens = Math.min(MAX_TOKENS, mTokens + mEarned);
    }

    /** Returns whether a further attempt can be paid. */
    boolean canPay() {
        return mTokens >= 1;
    }

    /** Pays for a further attempt. */
    void pay() {
        mTokens--;
    }

    /** Returns when a request sent at {@code sentNanos} is hedged. */
    long hedgeAtNanos(TimeDigest times, long sentNanos) {
        return sentNanos + (long) (mAfter * times.quantileNanos());
    }
}
