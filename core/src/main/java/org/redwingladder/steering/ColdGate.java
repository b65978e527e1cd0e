package org.redwingladder.steering;

/**
 * Spaces the requests of this host to one cold backend server.
 *
 * <p>A cold server bears a rate from all hosts together. A few hosts, the same for all, share that
 * rate; the others send nothing while the server is cold. Not thread-safe.
 */
final class ColdGate {
    private static final double NANOS_PER_SECOND = 1e9;

    private long mNextNanos;
    private boolean mUsed;

    /** Returns whether a request may be sent now, and counts it. */
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
