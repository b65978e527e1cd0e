package org.redwingladder.steering;

/**
 * Limits the rate at which this host sends requests to one backend server that is warming up.
 *
 * <p>A cold server supports a fixed request rate from all hosts together. {@link
 * Placer#COLD_FEEDERS} hosts share that rate equally; the other hosts send nothing while the server
 * is cold. Not thread-safe.
 */
final class ColdGate {
    private static final double NANOS_PER_SECOND = 1e9;

    private long mNextNanos;
    private boolean mUsed;

    /** Acquires a permit if one is available, and returns whether it was acquired. */
    boolean tryPass(double requestsPerSecond, long nowNanos) {
        if (!open(requestsPerSecond, nowNanos)) {
            return false;
        }
        mUsed = true;
        mNextNanos = nowNanos + (long) (NANOS_PER_SECOND * Placer.COLD_FEEDERS / requestsPerSecond);
        return true;
    }

    boolean open(double requestsPerSecond, long nowNanos) {
        return requestsPerSecond > 0 && (!mUsed || nowNanos - mNextNanos >= 0);
    }
}
