package org.redwingladder.standin;

import static java.util.Objects.requireNonNull;

import java.util.Random;

/**
 * Samples service times from the configured log-normal distributions, with cold start and slow
 * periods.
 */
final class ServiceTimeSampler {
    private final BackendConfig mConfig;
    private final Random mRandom;
    private final long mStartedAt;
    private long mSlowPeriodStart;
    private long mSlowPeriodEnd;

    ServiceTimeSampler(BackendConfig config, long nowMillis) {
        mConfig = config;
        mRandom = new Random(config.seed());
        mStartedAt = nowMillis;
        scheduleSlowPeriod(nowMillis);
    }

    /**
     * Returns a random service time in milliseconds for a request that starts at {@code nowMillis}.
     */
    synchronized double sample(
            BackendConfig.PathClass pathClass, BackendFaults faults, long nowMillis) {
        double millis =
                pathClass.medianMillis() * Math.exp(pathClass.sigma() * mRandom.nextGaussian());
        return millis * factor(faults, nowMillis);
    }

    /** Returns the factor that applies to service times at {@code nowMillis}. */
    synchronized double factor(BackendFaults faults, long nowMillis) {
        double factor = coldFactor(nowMillis) * slowPeriodFactor(nowMillis);
        boolean slow = faults.slowUntil() == 0 || nowMillis < faults.slowUntil();
        return slow ? factor * faults.slowFactor() : factor;
    }

    private double coldFactor(long nowMillis) {
        long remaining = mStartedAt + mConfig.coldMillis() - nowMillis;
        if (remaining <= 0) {
            return 1;
        }
        return 1 + (mConfig.coldFactor() - 1) * remaining / mConfig.coldMillis();
    }

    private double slowPeriodFactor(long nowMillis) {
        while (mSlowPeriodEnd <= nowMillis && requireNonNull(mConfig.spells()).everyMillis() > 0) {
            scheduleSlowPeriod(mSlowPeriodEnd);
        }
        return nowMillis >= mSlowPeriodStart ? requireNonNull(mConfig.spells()).factor() : 1;
    }

    private void scheduleSlowPeriod(long fromMillis) {
        BackendConfig.SlowPeriods spells = requireNonNull(mConfig.spells());
        if (spells.everyMillis() == 0) {
            mSlowPeriodStart = Long.MAX_VALUE;
            mSlowPeriodEnd = Long.MAX_VALUE;
            return;
        }
        double gap = -Math.log(1 - mRandom.nextDouble()) * spells.everyMillis();
        mSlowPeriodStart = fromMillis + (long) gap + 1;
        mSlowPeriodEnd = mSlowPeriodStart + Math.max(1, spells.lastMillis());
    }
}
