package org.redwingladder.steering;

/**
 * Spaces the requests that this host sends to one backend server whose request rate the hosts
 * share.
 *
 * <p>Permits become available at even intervals; a few that were not used remain available. A pacer
 * starts without a permit, and the senders of a server receive their first permits one after the
 * other. Hosts that become senders therefore send no more than the shared rate while former senders
 * do not know yet that they were replaced. Not thread-safe.
 */
final class SendPacer {
    private static final double NANOS_PER_SECOND = 1e9;

    private boolean mActive;
    private long mIntervalNanos;
    private int mBurst;

    /** The instant up to which permits are used up; the next one is due an interval later. */
    private long mUsedUntilNanos;

    /** Ends the pacing because the server's rate is not shared or this host has no share of it. */
    void stop() {
        mActive = false;
    }

    /**
     * Returns whether a request may be sent now; starts the pacing if it is inactive.
     *
     * @param perSecond the rate of all hosts together
     * @param burst the largest number of unused permits
     */
    boolean hasPermit(double perSecond, SenderShare share, int burst, long nowNanos) {
        double ownRate = perSecond * share.fraction();
        if (!(ownRate > 0)) {
            stop();
            return false;
        }
        mIntervalNanos = (long) (NANOS_PER_SECOND / ownRate);
        mBurst = burst;
        if (!mActive) {
            mActive = true;
            long wait = (long) ((share.position() + 1) * NANOS_PER_SECOND / perSecond);
            mUsedUntilNanos = nowNanos + wait - mIntervalNanos;
        }
        return nextPermitNanos() - nowNanos <= 0;
    }

    /** Records that a request is sent. */
    void recordSent(long nowNanos) {
        if (mActive) {
            long oldest = nowNanos - mBurst * mIntervalNanos;
            if (oldest - mUsedUntilNanos > 0) {
                mUsedUntilNanos = oldest;
            }
            mUsedUntilNanos += mIntervalNanos;
        }
    }

    boolean active() {
        return mActive;
    }

    /** Returns the instant of the next permit; the pacing must be active. */
    long nextPermitNanos() {
        return mUsedUntilNanos + mIntervalNanos;
    }
}
