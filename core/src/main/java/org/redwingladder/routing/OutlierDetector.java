package org.redwingladder.routing;

import java.util.Arrays;

/**
 * Ejects backend servers that are slower than their peers, by the response times the owner sees.
 *
 * <p>Each backend server has a CUSUM: a service time adds its excess over the class's 95th
 * percentile, in multiples of that percentile, and the sum never falls below zero. Attempts that
 * are in flight or were cancelled count with their age. A backend server is ejected when its sum
 * reaches a threshold and the median of its peers is well below: if all are slow, none is an
 * outlier.
 */
public final class OutlierDetector {
    private final SiteTuning mTuning;
    private final BackendPool mPool;

    /** Creates a detector for the backend servers in {@code pool}. */
    OutlierDetector(SiteTuning tuning, BackendPool pool) {
        mTuning = tuning;
        mPool = pool;
    }

    /** Records the service time of a successful attempt. */
    static void recordResponse(Backend backend, long nanos, ServiceTimeHistogram times) {
        double excess = relativeExcess(nanos, times);
        if (excess < 0) {
            backend.raiseSlotLimit();
        }
        // A very fast response must not outweigh several slow ones.
        backend.mExcessSum = Math.max(0, backend.mExcessSum + Math.max(-0.5, excess));
    }

    /** Records an attempt that was cancelled after {@code nanos} without a response. */
    static void recordCancelled(Backend backend, long nanos, ServiceTimeHistogram times) {
        backend.mExcessSum += Math.max(0, relativeExcess(nanos, times));
    }

    /** Records a failed attempt; two consecutive failures cause an ejection. */
    void recordFailure(Backend backend) {
        backend.mExcessSum += 0.6 * mTuning.ejectionThreshold();
    }

    /** Returns the excess of a time over the class's quantile, in multiples of the quantile. */
    static double relativeExcess(long nanos, ServiceTimeHistogram times) {
        return (double) nanos / times.quantileNanos() - 1;
    }

    /**
     * Ejects a backend server if it is an outlier.
     *
     * @param inFlightExcess the excess of its attempts that are in flight
     * @return whether it was ejected
     */
    boolean ejectIfOutlier(Backend backend, double inFlightExcess, long nowNanos) {
        double excessSum = backend.mExcessSum + inFlightExcess;
        if (excessSum < mTuning.ejectionThreshold() || !backend.serving()) {
            return false;
        }
        if (excessSum < mTuning.ejectionThreshold() + 2 * medianOfPeers(backend)) {
            return false;
        }
        if (!mPool.canEject()) {
            // At the ejection limit it stays in, with one request at a time until it is fast again.
            backend.mSlotLimit = 1;
            return false;
        }
        eject(backend, nowNanos);
        return true;
    }

    /** Ends an ejection, after a successful probe or without one. */
    void endEjection(Backend backend) {
        backend.mEjected = false;
        backend.mExcessSum = 0;
        backend.mSlotLimit = 1;
        backend.resetServiceTimes();
    }

    /** Extends an ejection after a probe that timed out or failed. */
    void extendEjection(Backend backend, long nowNanos) {
        eject(backend, nowNanos);
    }

    private void eject(Backend backend, long nowNanos) {
        boolean ejectedRecently =
                nowNanos - backend.mEjectedAtNanos < 4 * mTuning.maxEjectionNanos();
        backend.mConsecutiveEjections =
                backend.mConsecutiveEjections > 0 && ejectedRecently
                        ? backend.mConsecutiveEjections + 1
                        : 1;
        long nanos = mTuning.baseEjectionNanos() << Math.min(20, backend.mConsecutiveEjections - 1);
        backend.mEjected = true;
        backend.mEjectedAtNanos = nowNanos;
        backend.mProbeAtNanos = nowNanos + Math.min(nanos, mTuning.maxEjectionNanos());
    }

    private double medianOfPeers(Backend backend) {
        double[] excessSums =
                mPool.all().stream()
                        .filter(peer -> peer != backend && peer.serving())
                        .mapToDouble(peer -> peer.mExcessSum)
                        .toArray();
        if (excessSums.length == 0) {
            return Double.MAX_VALUE / 4;
        }
        Arrays.sort(excessSums);
        return excessSums[(excessSums.length - 1) / 2];
    }
}
