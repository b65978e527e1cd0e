package org.redwingladder.steering;

import java.util.ArrayDeque;

/**
 * Bounds the repeated sends of one service on one host.
 *
 * <p>The bound holds for all hosts together: a repeat is allowed while the repeats of the window
 * stay below a ratio of this host's requests plus this host's part of the allowance. Every repeat
 * that arrives counts, also one that the backend server turns away. Not thread-safe.
 */
public final class RetryShare {
    /** Leaves room for requests that leave the window between two looks of an observer. */
    private static final double SAFETY = 0.7;

    private final double mRatio;
    private final double mAllowance;
    private final long mWindowNanos;
    private final ArrayDeque<Long> mRequests = new ArrayDeque<>();
    private final ArrayDeque<Long> mRepeats = new ArrayDeque<>();

    private RetryShare(double ratio, double allowance, long windowNanos) {
        mRatio = ratio;
        mAllowance = allowance;
        mWindowNanos = windowNanos;
    }

    /**
     * Creates an empty budget.
     *
     * @param ratio repeats for each request, over all hosts
     * @param allowance repeats beyond the ratio in one window, over all hosts
     * @param windowNanos the length of the sliding window
     */
    public static RetryShare create(double ratio, double allowance, long windowNanos) {
        return new RetryShare(ratio, allowance, windowNanos);
    }

    /** Counts a request. */
    public void request(long nowNanos) {
        expire(nowNanos);
        mRequests.addLast(nowNanos);
    }

    /**
     * Takes one repeat if the budget has room.
     *
     * @param hosts the number of hosts that share the allowance, at least 1
     */
    public boolean tryTake(int hosts, long nowNanos) {
        expire(nowNanos);
        double bound = mRatio * mRequests.size() + mAllowance / Math.max(1, hosts);
        if (mRepeats.size() + 1 > SAFETY * bound) {
            return false;
        }
        mRepeats.addLast(nowNanos);
        return true;
    }

    private void expire(long nowNanos) {
        drop(mRequests, nowNanos);
        drop(mRepeats, nowNanos);
    }

    private void drop(ArrayDeque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > mWindowNanos) {
            times.removeFirst();
        }
    }
}
