package org.redwingladder.standin;

/** Limits the rate of operations with a bucket that holds one second's worth. */
final class RateLimit {
    private static final double NANOS = 1e9;

    private final int mPerSecond;
    private double mTokens;
    private long mFilledAtNanos;

    /** Creates a limit of {@code perSecond} operations; 0 admits all. */
    RateLimit(int perSecond) {
        mPerSecond = perSecond;
        mTokens = perSecond;
        mFilledAtNanos = System.nanoTime();
    }

    synchronized boolean tryTake(long nowNanos) {
        if (mPerSecond == 0) {
            return true;
        }
        double gained = (nowNanos - mFilledAtNanos) / NANOS * mPerSecond;
        mTokens = Math.min(mPerSecond, mTokens + Math.max(0, gained));
        mFilledAtNanos = nowNanos;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}
