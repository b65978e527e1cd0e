package org.redwingladder.routing;

/**
 * Decides when a request is hedged, within a budget.
 *
 * <p>The hedge delay is a multiple of a quantile of the class's service times. Each extra attempt,
 * hedge or probe, takes a token from a bucket that each request fills by a few percent of a token.
 * Not thread-safe.
 */
public final class HedgePolicy {
    /** Burst capacity, for episodes in which several backend servers are slow at once. */
    private static final double MAX_TOKENS = 20;

    private final double mTokensPerRequest;
    private final double mDelayFactor;
    private double mTokens;

    /** Creates a policy with an empty token bucket. */
    HedgePolicy(SiteTuning tuning) {
        mTokensPerRequest = tuning.extraAttemptsPercent() / 100;
        mDelayFactor = tuning.hedgeDelayFactor();
    }

    /** Records a request, which adds a fraction of a token. */
    void recordRequest() {
        mTokens = Math.min(MAX_TOKENS, mTokens + mTokensPerRequest);
    }

    /** Returns whether the budget allows an extra attempt. */
    boolean hasToken() {
        return mTokens >= 1;
    }

    /** Takes the token of an extra attempt. */
    void takeToken() {
        mTokens--;
    }

    /** Returns when to hedge a request sent at {@code sentNanos}. */
    long hedgeAtNanos(ServiceTimeHistogram times, long sentNanos) {
        return sentNanos + (long) (mDelayFactor * times.quantileNanos());
    }
}
