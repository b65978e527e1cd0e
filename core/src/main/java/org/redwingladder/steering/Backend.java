package org.redwingladder.steering;

import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;

/**
 * Load estimate and outlier detection of one backend server, as seen by this host. Not thread-safe.
 *
 * <p>The load that other hosts cause is known only from the load reports in the server's answers.
 * The estimate starts at the last reported value and decays exponentially towards the moving
 * average of the reports.
 */
public final class Backend {
    /** The weight of a new report in the moving average of the load. */
    private static final double MEAN_LOAD_GAIN = 0.2;

    /**
     * The factor by which one answer changes the slowness. Steps of equal size in both directions
     * converge to the median.
     */
    private static final double SLOWNESS_STEP = 1.08;

    private static final double MAX_SLOWNESS = 20;
    private static final double MIN_SLOWNESS = 0.5;

    /** Multiple of the expected time from which on an unanswered request counts as slowness. */
    private static final double OVERDUE_FACTOR = 2.5;

    /** Time constant with which the weight of the last load report decays. */
    private static final double LOAD_REPORT_DECAY_MILLIS = 400;

    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
    private static final int MAX_EJECTION_DOUBLINGS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double FAILURE_RATE_GAIN = 0.1;

    private ServerRegistration mRegistration;
    private final ArrayDeque<Long> mInFlightSentNanos = new ArrayDeque<>();
    private final SendPacer mPacer = new SendPacer();
    private double mLimitPerSecond = Double.POSITIVE_INFINITY;
    private long mPermitsDenied;
    private long mColdUntilNanos;
    private @Nullable ServerWarmUp mWarmUp;
    private boolean mLeaving;
    private @Nullable Long mHoldOffUntilNanos;
    private double mOtherHostsMeanLoad;
    private double mOtherHostsLastLoad;
    private long mLoadReportedNanos;
    private double mSlowness = 1;
    private double mFailureRate;
    private int mConsecutiveFailures;
    private int mEjections;
    private boolean mEjected;
    private long mEjectedUntilNanos;

    Backend(ServerRegistration entry, long coldUntilNanos) {
        mRegistration = entry;
        mColdUntilNanos = coldUntilNanos;
    }

    public ServerRegistration registration() {
        return mRegistration;
    }

    void update(ServerRegistration entry) {
        mRegistration = entry;
        if (entry.coldUntilNanos() - mColdUntilNanos > 0) {
            mColdUntilNanos = entry.coldUntilNanos();
        }
    }

    void extendColdUntil(long nanos) {
        if (nanos - mColdUntilNanos > 0) {
            mColdUntilNanos = nanos;
        }
    }

    /** Sets the warm-up that hosts noticed beside the registration, null if there is none. */
    void warmUp(@Nullable ServerWarmUp warmUp) {
        mWarmUp = warmUp;
    }

    /** Sets whether the server said that it leaves. */
    void leaving(boolean leaving) {
        mLeaving = leaving;
    }

    boolean leaving() {
        return mLeaving;
    }

    /** Sends nothing more to the server until an instant, as it asked of this host. */
    public void holdOffUntil(long nanos) {
        if (mHoldOffUntilNanos == null || nanos - mHoldOffUntilNanos > 0) {
            mHoldOffUntilNanos = nanos;
        }
    }

    /** Returns for how much longer the server wants nothing from this host, in nanoseconds. */
    public long holdOffNanos(long nowNanos) {
        return mHoldOffUntilNanos == null ? 0 : Math.max(0, mHoldOffUntilNanos - nowNanos);
    }

    /** Returns whether hosts found that nothing listens at the server's address. */
    public boolean absent() {
        return mWarmUp != null && mWarmUp.awaited();
    }

    boolean cold(long nowNanos) {
        return mColdUntilNanos - nowNanos > 0 || (mWarmUp != null && mWarmUp.cold(nowNanos));
    }

    SendPacer pacer() {
        return mPacer;
    }

    /** Sets the rate that the server accepts from all hosts together; infinity for no limit. */
    void limitPerSecond(double perSecond) {
        if (Double.isInfinite(perSecond) && limited()) {
            mPermitsDenied = 0;
        }
        mLimitPerSecond = perSecond;
    }

    /**
     * Returns the rate that the server accepts from all hosts together, in requests per second;
     * infinity if it has named no limit.
     */
    public double limitPerSecond() {
        return mLimitPerSecond;
    }

    boolean limited() {
        return mLimitPerSecond < Double.POSITIVE_INFINITY;
    }

    void recordPermitDenied() {
        mPermitsDenied++;
    }

    /** Returns how often a request was not sent here because of the server's current limit. */
    public long permitsDenied() {
        return mPermitsDenied;
    }

    /**
     * Returns whether requests may be sent to the server. Once its ejection time has passed, an
     * ejected server receives one probe request at a time.
     */
    boolean usable(long nowNanos) {
        if (holdOffNanos(nowNanos) > 0) {
            return false;
        }
        if (!mEjected) {
            return true;
        }
        return nowNanos - mEjectedUntilNanos >= 0 && mInFlightSentNanos.isEmpty();
    }

    /** Returns whether the server was ejected for its failures and has not answered since. */
    public boolean ejected() {
        return mEjected;
    }

    /** Returns the number of ejections since the server's last answer. */
    public int ejections() {
        return mEjections;
    }

    /** Returns the instant before which an ejected server receives no requests. */
    public long ejectedUntilNanos() {
        return mEjectedUntilNanos;
    }

    /** Records that a request is about to be sent. */
    public void recordSent(long nowNanos) {
        mInFlightSentNanos.addLast(nowNanos);
        mPacer.recordSent(nowNanos);
    }

    /** Returns the number of requests from this host that the server has not answered. */
    public int inFlight() {
        return mInFlightSentNanos.size();
    }

    /**
     * Records the end of a request and ejects the server after consecutive failures.
     *
     * @param sentNanos the instant at which the request was sent
     * @param expectedMillis the response time that was expected
     */
    public void recordEnd(SendResult result, long sentNanos, double expectedMillis, long nowNanos) {
        mInFlightSentNanos.removeFirstOccurrence(sentNanos);
        switch (result) {
            case ANSWERED -> {
                boolean slower = nowNanos - sentNanos > expectedMillis * NANOS_PER_MILLI;
                mSlowness =
                        Math.clamp(
                                slower ? mSlowness * SLOWNESS_STEP : mSlowness / SLOWNESS_STEP,
                                MIN_SLOWNESS,
                                MAX_SLOWNESS);
                mFailureRate -= FAILURE_RATE_GAIN * mFailureRate;
                mConsecutiveFailures = 0;
                mEjected = false;
                mEjections = 0;
            }
            case FAILED, UNPROVEN_REFUSAL, LOST -> recordFailure(1, nowNanos);
            case TIMED_OUT -> {
                mSlowness = Math.min(MAX_SLOWNESS, mSlowness * 1.3);
                recordFailure(1, nowNanos);
            }
            case UNREACHABLE -> recordFailure(CONSECUTIVE_FAILURES_TO_EJECT, nowNanos);
            case MISDIRECTED -> recordFailure(CONSECUTIVE_FAILURES_TO_EJECT, nowNanos);
            case FULL -> {
                // A server that rejects requests has a full queue, even if other hosts filled it.
                mOtherHostsLastLoad = Math.max(mOtherHostsLastLoad, 2.0 * mRegistration.slots());
                mLoadReportedNanos = nowNanos;
                mFailureRate += FAILURE_RATE_GAIN * (1 - mFailureRate);
            }
            case CANCELLED, WITHDRAWN -> {}
            default -> throw new IllegalArgumentException("unknown result " + result);
        }
    }

    private void recordFailure(int count, long nowNanos) {
        mFailureRate += FAILURE_RATE_GAIN * (1 - mFailureRate);
        mConsecutiveFailures += count;
        if (mConsecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT) {
            mEjected = true;
            mEjectedUntilNanos =
                    nowNanos
                            + (FIRST_EJECTION_NANOS
                                    << Math.min(mEjections, MAX_EJECTION_DOUBLINGS));
            mEjections++;
        }
    }

    /** Records a load report of the server. */
    public void recordLoad(LoadSample load, long nowNanos) {
        double otherHostsLoad =
                Math.max(0, load.running() + load.waiting() - mInFlightSentNanos.size());
        mOtherHostsLastLoad = otherHostsLoad;
        mOtherHostsMeanLoad += MEAN_LOAD_GAIN * (otherHostsLoad - mOtherHostsMeanLoad);
        mLoadReportedNanos = nowNanos;
    }

    /** Returns the estimated number of requests that run or wait at the server. */
    public double expectedLoad(long nowNanos) {
        double age = (nowNanos - mLoadReportedNanos) / NANOS_PER_MILLI;
        double reportWeight = Math.exp(-age / LOAD_REPORT_DECAY_MILLIS);
        return mInFlightSentNanos.size()
                + mOtherHostsMeanLoad
                + (mOtherHostsLastLoad - mOtherHostsMeanLoad) * reportWeight;
    }

    /** Returns the server's response time as a multiple of the expected one. */
    public double slowness() {
        return mSlowness;
    }

    /**
     * Returns the expected service time at the server as a multiple of {@code serviceMillis}, which
     * accounts for its oldest unanswered request and its failures as well.
     */
    double slowness(double serviceMillis, long nowNanos) {
        Long oldest = mInFlightSentNanos.peekFirst();
        double overdue =
                oldest == null
                        ? 0
                        : (nowNanos - oldest)
                                / NANOS_PER_MILLI
                                / Math.max(1, serviceMillis)
                                / OVERDUE_FACTOR;
        return Math.max(mSlowness, Math.min(overdue, MAX_SLOWNESS)) * (1 + 2 * mFailureRate);
    }
}
