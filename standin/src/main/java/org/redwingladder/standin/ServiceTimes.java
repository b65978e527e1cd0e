package org.redwingladder.standin;

import static java.util.Objects.requireNonNull;

import java.util.Random;

/** Draws service times from the configured distributions. */
final class ServiceTimes {
    private final BackendConfig mConfig;
    private final Random mRandom;
    private final long mStartedAt;
    private long mSpellStart;
    private long mSpellEnd;

    ServiceTimes(BackendConfig config, long nowMillis) {
        mConfig = config;
        mRandom = new Random(config.seed());
        mStartedAt = nowMillis;
        planSpell(nowMillis);
    }

    /** Returns a service time in milliseconds for work that starts at {@code nowMillis}. */
    synchronized double draw(
            BackendConfig.PathClass pathClass, BackendFaults faults, long nowMillis) {
        double millis =
                pathClass.medianMillis() * Math.exp(pathClass.sigma() * mRandom.nextGaussian());
        return millis * factor(faults, nowMillis);
    }

    /** Returns by what a service time is multiplied at {@code nowMillis}. */
    synchronized double factor(BackendFaults faults, long nowMillis) {
        double factor = coldFactor(nowMillis) * spellFactor(nowMillis);
        boolean slow = faults.slowUntil() == 0 || nowMillis < faults.slowUntil();
        return slow ? factor * faults.slowFactor() : factor;
    }

    private double coldFactor(long nowMillis) {
        long left = mStartedAt + mConfig.coldMillis() - nowMillis;
        if (left <= 0) {
            return 1;
        }
        return 1 + (mConfig.coldFactor() - 1) * left / mConfig.coldMillis();
    }

    private double spellFactor(long nowMillis) {
        while (mSpellEnd <= nowMillis && requireNonNull(mConfig.spells()).everyMillis() > 0) {
            planSpell(mSpellEnd);
        }
        return nowMillis >= mSpellStart ? requireNonNull(mConfig.spells()).factor() : 1;
    }

    private void planSpell(long fromMillis) {
        BackendConfig.Spells spells = requireNonNull(mConfig.spells());
        if (spells.everyMillis() == 0) {
            mSpellStart = Long.MAX_VALUE;
            mSpellEnd = Long.MAX_VALUE;
            return;
        }
        double gap = -Math.log(1 - mRandom.nextDouble()) * spells.everyMillis();
        mSpellStart = fromMillis + (long) gap + 1;
        mSpellEnd = mSpellStart + Math.max(1, spells.lastMillis());
    }
}
