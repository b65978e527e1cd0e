package org.redwingladder.steering;

/**
 * Limits the rate at which this host sends requests to one backend server that is warming up.
 *
 * <p>A cold server supports a fixed request rate from all hosts together. {@link
 * LoadBalancer#WARM_UP_SENDERS} hosts share that rate equally; the other hosts send nothing while
 * the server is cold. Not thread-safe.
 */
final class WarmUpRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private long mNextNanos;
    private boolean mUsed;

    /** Acquires a permit if one is available, and returns whether it was acquired. */
    boolean tryAcquire(double requestsPerSecond, long nowNanos) {
        if (!hasPermit(requestsPerSecond, nowNanos)) {
            return false;
        }
        mUsed = true;
        mNextNanos =
                nowNanos
                        + (long)
                                (NANOS_PER_SECOND
                                        * LoadBalancer.WARM_UP_SENDERS
                                        / requestsPerSecond);
        return true;
    }

    boolean hasPermit(double requestsPerSecond, long nowNanos) {
        return requestsPerSecond > 0 && (!mUsed || nowNanos - mNextNanos >= 0);
    }
}
