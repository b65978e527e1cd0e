package org.redwingladder.steering;

import java.util.ArrayDeque;

/**
 * Limits the retries and hedges of one service on one host to a budget over a sliding window.
 *
 * <p>The budget holds for all hosts together: a retry is allowed while the retries of the window
 * stay below a ratio of this host's requests plus this host's share of a fixed allowance. Every
 * retry that reaches a backend server counts, including those that the server rejects. Not
 * thread-safe.
 */
public final class SlidingWindowRetryBudget {
    /**
     * Share of the budget that is used. The rest covers requests that leave the window between two
     * measurements of an observer.
     */
    private static final double SAFETY_FACTOR = 0.7;

    private final double mRatio;
    private final double mAllowance;
    private final long mWindowNanos;
    private final ArrayDeque<Long> mRequests = new ArrayDeque<>();
    private final ArrayDeque<Long> mRetries = new ArrayDeque<>();

    private SlidingWindowRetryBudget(double ratio, double allowance, long windowNanos) {
        mRatio = ratio;
        mAllowance = allowance;
        mWindowNanos = windowNanos;
    }

    /**
     * Creates a budget without recorded requests.
     *
     * @param ratio allowed retries per request, over all hosts
     * @param allowance additional retries in one window, over all hosts
     * @param windowNanos the length of the sliding window
     */
    public static SlidingWindowRetryBudget create(
            double ratio, double allowance, long windowNanos) {
        return new SlidingWindowRetryBudget(ratio, allowance, windowNanos);
    }

    /** Records the first attempt of a request. */
    public void recordRequest(long nowNanos) {
        expire(nowNanos);
        mRequests.addLast(nowNanos);
    }

    /**
     * Acquires one retry if the budget allows it, and returns whether it was acquired.
     *
     * @param hosts the number of hosts that share the allowance, at least 1
     */
    public boolean tryAcquire(int hosts, long nowNanos) {
        expire(nowNanos);
        double budget = mRatio * mRequests.size() + mAllowance / Math.max(1, hosts);
        if (mRetries.size() + 1 > SAFETY_FACTOR * budget) {
            return false;
        }
        mRetries.addLast(nowNanos);
        return true;
    }

    private void expire(long nowNanos) {
        removeBeforeWindow(mRequests, nowNanos);
        removeBeforeWindow(mRetries, nowNanos);
    }

    private void removeBeforeWindow(ArrayDeque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > mWindowNanos) {
            times.removeFirst();
        }
    }
}
