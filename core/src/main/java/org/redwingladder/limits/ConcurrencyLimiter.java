package org.redwingladder.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the number of requests in flight under one cap.
 *
 * <p>After a change of owner, the former owner's requests count as in flight until their deadline.
 * Instants are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class ConcurrencyLimiter {
    private final Deque<Long> mReleaseAtNanos = new ArrayDeque<>();
    private int mCap;
    private int mInFlight;
    private int mInherited;
    private long mInheritedUntilNanos;

    private ConcurrencyLimiter(int cap) {
        mCap = cap;
    }

    /**
     * Creates a limiter with no request in flight.
     *
     * @param cap the largest number of requests in flight
     * @throws IllegalArgumentException if the cap is negative
     */
    public static ConcurrencyLimiter of(int cap) {
        if (cap < 0) {
            throw new IllegalArgumentException("negative in-flight cap: " + cap);
        }
        return new ConcurrencyLimiter(cap);
    }

    /**
     * Counts {@code count} requests of the former owner as in flight until {@code untilNanos}. If
     * their number is unknown, the whole cap is the safe choice. A later call replaces an earlier
     * one.
     */
    public void inherit(int count, long untilNanos) {
        mInherited = count;
        mInheritedUntilNanos = untilNanos;
    }

    /**
     * Replaces the cap. If more requests are in flight than a lowered cap allows, they run to their
     * end, and no request is admitted before the count is below the cap.
     */
    public void updateCap(int cap) {
        mCap = cap;
    }

    /** Acquires a permit if one is available, and returns whether it was acquired. */
    public boolean tryAcquire(long nowNanos) {
        if (!hasPermit(nowNanos)) {
            return false;
        }
        mInFlight++;
        return true;
    }

    /** Returns whether a permit is available. */
    public boolean hasPermit(long nowNanos) {
        return inFlight(nowNanos) < mCap;
    }

    /**
     * Releases a permit.
     *
     * @throws IllegalStateException if no permit is held
     */
    public void release() {
        checkPermitHeld();
        mInFlight--;
    }

    /**
     * Releases a permit at {@code atNanos}, for a request that may run until then. Successive calls
     * must not pass decreasing instants.
     *
     * @throws IllegalStateException if no permit is held
     */
    public void releaseAt(long atNanos) {
        checkPermitHeld();
        mReleaseAtNanos.add(atNanos);
    }

    private void checkPermitHeld() {
        if (mReleaseAtNanos.size() >= mInFlight) {
            throw new IllegalStateException("no request is in flight");
        }
    }

    /** Returns the number of requests in flight, including those of the former owner. */
    public int inFlight(long nowNanos) {
        return ownInFlight(nowNanos) + (nowNanos < mInheritedUntilNanos ? mInherited : 0);
    }

    /** Returns the number of requests in flight, excluding those of the former owner. */
    public int ownInFlight(long nowNanos) {
        while (!mReleaseAtNanos.isEmpty() && mReleaseAtNanos.peekFirst() - nowNanos <= 0) {
            mReleaseAtNanos.removeFirst();
            mInFlight--;
        }
        return mInFlight;
    }

    /**
     * Returns the instant until which requests of the former owner count, or {@code nowNanos} if
     * there are none.
     */
    public long inheritedUntilNanos(long nowNanos) {
        return mInherited > 0 ? Math.max(nowNanos, mInheritedUntilNanos) : nowNanos;
    }

    public int cap() {
        return mCap;
    }
}
