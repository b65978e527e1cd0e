package org.redwingladder.steering;

import java.util.ArrayDeque;

/**
 * Holds what this host knows about one backend server. Not thread-safe.
 *
 * <p>The load that other hosts cause is known from the server's last answers only. It is taken as
 * the last value right after an answer and moves towards the mean of the past values.
 */
public final class Backend {
    /** The share of a new value in the mean of loads. */
    private static final double LOAD_GAIN = 0.2;

    /** The factor by which one answer moves the server's speed, which settles at the median. */
    private static final double SPEED_STEP = 1.08;

    private static final double MAX_SLOWNESS = 20;
    private static final double MIN_SLOWNESS = 0.5;

    /** A flight that takes this many times longer than expected makes its server look slow. */
    private static final double OVERDUE = 2.5;

    /** Time in which the last load report loses most of its weight. */
    private static final double REPORT_FADE_MILLIS = 400;

    private static final int EJECT_AFTER_FAILURES = 3;
    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
    private static final int MAX_EJECTION_DOUBLINGS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double FAILURE_GAIN = 0.1;

    private ServerEntry mEntry;
    private final ArrayDeque<Long> mFlights = new ArrayDeque<>();
    private final ColdGate mColdGate = new ColdGate();
    private long mColdUntilNanos;
    private double mOthersMean;
    private double mOthersLast;
    private long mReportNanos;
    private double mSlowness = 1;
    private double mFailureShare;
    private int mFailuresInRow;
    private int mEjections;
    private boolean mEjected;
    private long mEjectedUntilNanos;

    Backend(ServerEntry entry, long coldUntilNanos) {
        mEntry = entry;
        mColdUntilNanos = coldUntilNanos;
    }

    /** Returns the server's registration. */
    public ServerEntry entry() {
        return mEntry;
    }

    void update(ServerEntry entry) {
        mEntry = entry;
        if (entry.coldUntilNanos() - mColdUntilNanos > 0) {
            mColdUntilNanos = entry.coldUntilNanos();
        }
    }

    void coldUntil(long nanos) {
        if (nanos - mColdUntilNanos > 0) {
            mColdUntilNanos = nanos;
        }
    }

    boolean cold(long nowNanos) {
        return mColdUntilNanos - nowNanos > 0;
    }

    ColdGate coldGate() {
        return mColdGate;
    }

    /** Returns whether the server may be chosen; one that was ejected gets one request to prove. */
    boolean usable(long nowNanos) {
        if (!mEjected) {
            return true;
        }
        return nowNanos - mEjectedUntilNanos >= 0 && mFlights.isEmpty();
    }

    /** Returns whether the server failed too often and has not proved itself since. */
    public boolean ejected() {
        return mEjected;
    }

    /** Returns how often the server was ejected since its last answer. */
    public int ejections() {
        return mEjections;
    }

    /** Returns until when an ejected server gets nothing. */
    public long ejectedUntilNanos() {
        return mEjectedUntilNanos;
    }

    /** Counts a request that is about to be sent. */
    public void sent(long nowNanos) {
        mFlights.addLast(nowNanos);
    }

    /** Returns the requests of this host that the server has not answered. */
    public int inFlight() {
        return mFlights.size();
    }

    /**
     * Counts the end of a request.
     *
     * @param sentNanos when it was sent
     * @param expectedMillis the time that was expected for it
     */
    public void ended(SendResult result, long sentNanos, double expectedMillis, long nowNanos) {
        mFlights.removeFirstOccurrence(sentNanos);
        switch (result) {
            case ANSWERED -> {
                boolean slower = nowNanos - sentNanos > expectedMillis * NANOS_PER_MILLI;
                mSlowness =
                        Math.clamp(
                                slower ? mSlowness * SPEED_STEP : mSlowness / SPEED_STEP,
                                MIN_SLOWNESS,
                                MAX_SLOWNESS);
                mFailureShare -= FAILURE_GAIN * mFailureShare;
                mFailuresInRow = 0;
                mEjected = false;
                mEjections = 0;
            }
            case FAILED, LOST -> failed(1, nowNanos);
            case TIMED_OUT -> {
                mSlowness = Math.min(MAX_SLOWNESS, mSlowness * 1.3);
                failed(1, nowNanos);
            }
            case UNREACHABLE -> failed(EJECT_AFTER_FAILURES, nowNanos);
            case MISDIRECTED -> failed(EJECT_AFTER_FAILURES, nowNanos);
            case FULL -> {
                // A server that turns requests away has a full queue, whoever filled it.
                mOthersLast = Math.max(mOthersLast, 2.0 * mEntry.slots());
                mReportNanos = nowNanos;
                mFailureShare += FAILURE_GAIN * (1 - mFailureShare);
            }
            case CANCELLED -> {}
            default -> throw new IllegalArgumentException("unknown result " + result);
        }
    }

    private void failed(int weight, long nowNanos) {
        mFailureShare += FAILURE_GAIN * (1 - mFailureShare);
        mFailuresInRow += weight;
        if (mFailuresInRow >= EJECT_AFTER_FAILURES) {
            mEjected = true;
            mEjectedUntilNanos =
                    nowNanos
                            + (FIRST_EJECTION_NANOS
                                    << Math.min(mEjections, MAX_EJECTION_DOUBLINGS));
            mEjections++;
        }
    }

    /** Takes over what the server said of its load. */
    public void report(LoadSample load, long nowNanos) {
        double others = Math.max(0, load.running() + load.waiting() - mFlights.size());
        mOthersLast = others;
        mOthersMean += LOAD_GAIN * (others - mOthersMean);
        mReportNanos = nowNanos;
    }

    /** Returns the number of requests that the server is expected to hold. */
    public double expectedLoad(long nowNanos) {
        double age = (nowNanos - mReportNanos) / NANOS_PER_MILLI;
        double fade = Math.exp(-age / REPORT_FADE_MILLIS);
        return mFlights.size() + mOthersMean + (mOthersLast - mOthersMean) * fade;
    }

    /** Returns how many times longer than usual the server's answers take. */
    public double slowness() {
        return mSlowness;
    }

    /** Returns how many times longer than usual the server works. */
    double slowness(double serviceMillis, long nowNanos) {
        Long oldest = mFlights.peekFirst();
        double overdue =
                oldest == null
                        ? 0
                        : (nowNanos - oldest)
                                / NANOS_PER_MILLI
                                / Math.max(1, serviceMillis)
                                / OVERDUE;
        return Math.max(mSlowness, Math.min(overdue, MAX_SLOWNESS)) * (1 + 2 * mFailureShare);
    }
}
