package org.redwingladder.routing;

import java.util.Arrays;

/**
 * Finds backend servers that are slower than their peers, from the owner's own response times.
 *
 * <p>Each service time adds what it is above the class's 95th percentile, in multiples of it, to a
 * sum that never falls below zero, and takes away what it is below. Attempts that are still in
 * flight, or were given up, count with their age. A backend server is ejected when its sum passes a
 * limit and the median of its peers stays well below it: if all are slow, none is an outlier.
 */
public final class OutlierDetector {
    private final SiteTuning mTuning;
    private final BackendPool mPool;

    /** Creates a detector of the backend servers in {@code pool}. */
    OutlierDetector(SiteTuning tuning, BackendPool pool) {
        mTuning = tuning;
        mPool = pool;
    }

    /** Counts a finished attempt. */
    static void finished(Backend backend, long nanos, TimeDigest times) {
        double excess = excess(nanos, times);
        if (excess < 0) {
            backend.widen();
        }
        // A very fast answer must not outweigh several slow ones.
        backend.mExcess = Math.max(0, backend.mExcess + Math.max(-0.5, excess));
    }

    /** Counts an attempt that was given up after {@code nanos} without an answer. */
    static void givenUp(Backend backend, long nanos, TimeDigest times) {
        backend.mExcess += Math.max(0, excess(nanos, times));
    }

    /** Counts an attempt that broke; two of them in a row eject. */
    void broken(Backend backend) {
        backend.mExcess += 0.6 * mTuning.ejectionThreshold();
    }

    /** Returns by how much a time is above the class's quantile, in multiples of it. */
    static double excess(long nanos, TimeDigest times) {
        return (double) nanos / times.quantileNanos() - 1;
    }

    /**
     * Ejects a backend server if it is an outlier.
     *
     * @param inFlightExcess the excess of its attempts that are in flight
     * @return whether it was ejected
     */
    boolean ejectIfOutlier(Backend backend, double inFlightExcess, long nowNanos) {
        double sum = backend.mExcess + inFlightExcess;
        if (sum < mTuning.ejectionThreshold() || !backend.serving()) {
            return false;
        }
        if (sum < mTuning.ejectionThreshold() + 2 * medianOfPeers(backend)) {
            return false;
        }
        if (!mPool.mayEject()) {
            // The floor keeps it in, with one request at a time until answers are good again.
            backend.mSlotLimit = 1;
            return false;
        }
        eject(backend, nowNanos);
        return true;
    }

    /** Ends an ejection after a probe that was answered in time. */
    void recovered(Backend backend) {
        backend.mEjected = false;
        backend.mExcess = 0;
        backend.mSlotLimit = 1;
        backend.resetTimes();
    }

    /** Prolongs an ejection after a probe that took too long or broke. */
    void stillSlow(Backend backend, long nowNanos) {
        eject(backend, nowNanos);
    }

    private void eject(Backend backend, long nowNanos) {
        boolean soonAgain = nowNanos - backend.mEjectedAtNanos < 4 * mTuning.maxEjectionNanos();
        backend.mEjections = backend.mEjections > 0 && soonAgain ? backend.mEjections + 1 : 1;
        long nanos = mTuning.baseEjectionNanos() << Math.min(20, backend.mEjections - 1);
        backend.mEjected = true;
        backend.mEjectedAtNanos = nowNanos;
        backend.mProbeAtNanos = nowNanos + Math.min(nanos, mTuning.maxEjectionNanos());
    }

    private double medianOfPeers(Backend backend) {
        double[] sums =
                mPool.all().stream()
                        .filter(peer -> peer != backend && peer.serving())
                        .mapToDouble(peer -> peer.mExcess)
                        .toArray();
        if (sums.length == 0) {
            return Double.MAX_VALUE / 4;
        }
        Arrays.sort(sums);
        return sums[(sums.length - 1) / 2];
    }
}
