package org.redwingladder.routing;

/** Holds what the owner knows of one backend server. */
final class Backend {
    /** How long a leaving sign in an answer outweighs a load report that may be older than it. */
    private static final long HEADER_SIGN_NANOS = 30_000_000_000L;

    private static final double WEIGHT = 0.1;

    BackendSpec mSpec;

    /** Attempts in flight, those cancelled a moment ago included. */
    int mInFlight;

    /** How far recent service times add up above the class's quantile, in multiples of it. */
    double mExcess;

    /** Ejected for slowness until this instant, then until a probe succeeds. */
    boolean mEjected;

    long mProbeAtNanos;
    int mEjections;
    long mEjectedAtNanos;
    boolean mProbing;

    /** Slots in use after a return or a shed answer; grows with each good answer. */
    int mSlotLimit = Integer.MAX_VALUE;

    /** A connection was refused, and nothing has shown since that it serves. */
    boolean mRefused;

    /** Mean age of the attempts in flight, in multiples of their class's mean service time. */
    double mRelativeAge;

    private double mRelativeTime = 1;
    private boolean mReportDraining;
    private boolean mHeaderDraining;
    private long mHeaderDrainingAtNanos;
    private boolean mStarting;
    private boolean mCold;
    private long mColdSinceNanos;

    Backend(BackendSpec spec) {
        mSpec = spec;
    }

    /** Marks the backend server as cold from now on. */
    void startRamp(long nowNanos) {
        mCold = true;
        mColdSinceNanos = nowNanos;
    }

    /** Returns whether new work may not be sent, whatever the floor of the ejections says. */
    boolean leaving() {
        return mRefused || signedOff();
    }

    /** Returns whether it says itself, or the settings say, that it leaves. */
    boolean signedOff() {
        return mSpec.draining() || mReportDraining || mHeaderDraining;
    }

    /** Returns when an ejection or a refused connection is forgotten without a probe. */
    long returnsAtNanos(long probeWaitNanos) {
        boolean waits = (mEjected || mRefused) && !mProbing;
        return waits ? mProbeAtNanos + probeWaitNanos : Long.MAX_VALUE;
    }

    boolean serving() {
        return !leaving() && !mEjected;
    }

    /** Returns how many attempts may be in flight. */
    int usableSlots(long rampNanos, long nowNanos) {
        int slots = mSpec.slots();
        slots = Math.min(Math.min(slots, mSlotLimit), mSpec.connections());
        if (mCold) {
            long age = nowNanos - mColdSinceNanos;
            if (age >= rampNanos) {
                mCold = false;
            } else {
                int ramped = 1 + (int) ((double) (mSpec.slots() - 1) * age / rampNanos);
                slots = Math.min(slots, ramped);
            }
        }
        return slots;
    }

    boolean ramping() {
        return mCold;
    }

    /** Takes a service time into account, in multiples of the class's mean. */
    void timed(double relativeTime) {
        mRelativeTime += WEIGHT * (relativeTime - mRelativeTime);
    }

    /** Allows another request at a time after a good answer. */
    void widen() {
        if (mSlotLimit < mSpec.slots()) {
            mSlotLimit++;
        }
    }

    /** Returns how much longer than the class's mean it takes at present, at least 1. */
    double slowness() {
        return Math.max(1, Math.max(mRelativeTime, mRelativeAge));
    }

    /** Estimates when another request would be finished, relative to the class's mean. */
    double expectedFinish() {
        return slowness() * (mInFlight + 1) / mSpec.slots();
    }

    /** Forgets slowness, after a probe has shown that it is over. */
    void resetTimes() {
        mRelativeTime = 1;
        mRelativeAge = 0;
    }

    void reported(LoadReport report, LoadReportSource source, long nowNanos) {
        boolean draining = report.state() == LoadReport.State.DRAINING;
        boolean starting = report.state() == LoadReport.State.STARTING;
        if (source == LoadReportSource.RESPONSE_HEADER) {
            mHeaderDraining = draining;
            mHeaderDrainingAtNanos = nowNanos;
        } else {
            mReportDraining = draining;
            if (report.state() == LoadReport.State.SERVING) {
                if (nowNanos - mHeaderDrainingAtNanos > HEADER_SIGN_NANOS) {
                    mHeaderDraining = false;
                }
                if (mRefused) {
                    mRefused = false;
                    startRamp(nowNanos);
                }
            }
        }
        if (starting && !mStarting) {
            startRamp(nowNanos);
        }
        mStarting = starting;
    }
}
