package org.redwingladder.standin;

/** A token bucket whose capacity is the rate of one second. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int mPerSecond;
    private double mTokens;
    private long mRefilledAtNanos;

    /** Creates a bucket that admits {@code perSecond} operations per second; 0 for no limit. */
    TokenBucket(int perSecond) {
        mPerSecond = perSecond;
        mTokens = perSecond;
        mRefilledAtNanos = System.nanoTime();
    }

    synchronized boolean tryAcquire(long nowNanos) {
        if (mPerSecond == 0) {
            return true;
        }
        double refill = (nowNanos - mRefilledAtNanos) / NANOS_PER_SECOND * mPerSecond;
        mTokens = Math.min(mPerSecond, mTokens + Math.max(0, refill));
        mRefilledAtNanos = nowNanos;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
