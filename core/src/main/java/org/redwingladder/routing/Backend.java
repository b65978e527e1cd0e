package org.redwingladder.routing;

/** The state of one backend server as its site's owner sees it. */
final class Backend {
    /** How long a draining state in a response header overrides load reports that may be older. */
    private static final long HEADER_DRAINING_NANOS = 30_000_000_000L;

    private static final double EWMA_WEIGHT = 0.1;

    BackendSpec mSpec;

    /** Attempts in flight, including cancelled ones whose slot is not yet released. */
    int mInFlight;

    /** CUSUM of the recent service times above the class's quantile, in multiples of it. */
    double mExcessSum;

    /** Whether it is ejected as an outlier, until a probe succeeds. */
    boolean mEjected;

    /** When it may be probed, if it is ejected or has refused a connection. */
    long mProbeAtNanos;

    /** Ejections in quick succession, for the exponential backoff of the probe. */
    int mConsecutiveEjections;

    long mEjectedAtNanos;
    boolean mProbing;

    /** Concurrency limit after a readmission or a shed request; grows with each fast response. */
    int mSlotLimit = Integer.MAX_VALUE;

    /** A connection was refused, and neither a probe nor a load report has succeeded since. */
    boolean mConnectionRefused;

    /** Mean age of the attempts in flight, in multiples of their class's mean service time. */
    double mRelativeAge;

    private double mRelativeTime = 1;
    private boolean mReportDraining;
    private boolean mHeaderDraining;
    private long mHeaderDrainingAtNanos;
    private boolean mStarting;
    private boolean mSlowStart;
    private long mSlowStartSinceNanos;

    Backend(BackendSpec spec) {
        mSpec = spec;
    }

    /** Starts the slow start: the usable slots grow linearly over the ramp time. */
    void beginSlowStart(long nowNanos) {
        mSlowStart = true;
        mSlowStartSinceNanos = nowNanos;
    }

    /** Returns whether no new work may be sent, regardless of the limit on ejections. */
    boolean unavailable() {
        return mConnectionRefused || draining();
    }

    /** Returns whether the settings, a load report or a response mark it as draining. */
    boolean draining() {
        return mSpec.draining() || mReportDraining || mHeaderDraining;
    }

    /** Returns when it is readmitted without a probe; {@link Long#MAX_VALUE} if not waiting. */
    long readmitAtNanos(long probeWaitNanos) {
        boolean awaitsProbe = (mEjected || mConnectionRefused) && !mProbing;
        return awaitsProbe ? mProbeAtNanos + probeWaitNanos : Long.MAX_VALUE;
    }

    boolean serving() {
        return !unavailable() && !mEjected;
    }

    /** Returns how many attempts may be in flight. */
    int usableSlots(long rampNanos, long nowNanos) {
        int slots = mSpec.slots();
        slots = Math.min(Math.min(slots, mSlotLimit), mSpec.connections());
        if (mSlowStart) {
            long age = nowNanos - mSlowStartSinceNanos;
            if (age >= rampNanos) {
                mSlowStart = false;
            } else {
                int ramped = 1 + (int) ((double) (mSpec.slots() - 1) * age / rampNanos);
                slots = Math.min(slots, ramped);
            }
        }
        return slots;
    }

    boolean inSlowStart() {
        return mSlowStart;
    }

    /** Records a service time in multiples of the class's mean. */
    void recordRelativeTime(double relativeTime) {
        mRelativeTime += EWMA_WEIGHT * (relativeTime - mRelativeTime);
    }

    /** Raises the concurrency limit by one, up to the number of slots. */
    void raiseSlotLimit() {
        if (mSlotLimit < mSpec.slots()) {
            mSlotLimit++;
        }
    }

    /** Returns the current service time in multiples of the class's mean, at least 1. */
    double slowdown() {
        return Math.max(1, Math.max(mRelativeTime, mRelativeAge));
    }

    /** Estimates the completion time of another request, in multiples of the class's mean. */
    double expectedFinish() {
        return slowdown() * (mInFlight + 1) / mSpec.slots();
    }

    /** Resets the service time estimates at the end of an ejection. */
    void resetServiceTimes() {
        mRelativeTime = 1;
        mRelativeAge = 0;
    }

    /** Applies a load report; a draining state is only cleared by the source that set it. */
    void applyLoadReport(LoadReport report, LoadReportSource source, long nowNanos) {
        boolean draining = report.state() == LoadReport.State.DRAINING;
        boolean starting = report.state() == LoadReport.State.STARTING;
        if (source == LoadReportSource.RESPONSE_HEADER) {
            mHeaderDraining = draining;
            mHeaderDrainingAtNanos = nowNanos;
        } else {
            mReportDraining = draining;
            if (report.state() == LoadReport.State.SERVING) {
                if (nowNanos - mHeaderDrainingAtNanos > HEADER_DRAINING_NANOS) {
                    mHeaderDraining = false;
                }
                if (mConnectionRefused) {
                    mConnectionRefused = false;
                    beginSlowStart(nowNanos);
                }
            }
        }
        if (starting && !mStarting) {
            beginSlowStart(nowNanos);
        }
        mStarting = starting;
    }
}
