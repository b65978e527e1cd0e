package org.redwingladder.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the requests in flight under one cap.
 *
 * <p>After a takeover the former owner's work counts as still running until an absolute deadline.
 * Instants are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class InFlightGate {
    private final Deque<Long> mLeavingAtNanos = new ArrayDeque<>();
    private int mCap;
    private int mInFlight;
    private int mCarriedOver;
    private long mCarriedUntilNanos;

    private InFlightGate(int cap) {
        mCap = cap;
    }

    /**
     * Creates a gate with nothing in flight.
     *
     * @throws IllegalArgumentException if the cap is negative
     */
    public static InFlightGate of(int cap) {
        if (cap < 0) {
            throw new IllegalArgumentException("negative cap: " + cap);
        }
        return new InFlightGate(cap);
    }

    /**
     * Counts work of the former owner as running until {@code untilNanos}; where its number is not
     * known, the whole cap is the safe choice. A later call replaces an earlier one.
     */
    public void carryOver(int count, long untilNanos) {
        mCarriedOver = count;
        mCarriedUntilNanos = untilNanos;
    }

    /** Changes the cap; requests above a lowered cap finish, and none is admitted until they do. */
    public void changeCap(int cap) {
        mCap = cap;
    }

    /** Takes a place if there is one. */
    public boolean tryEnter(long nowNanos) {
        if (!hasRoom(nowNanos)) {
            return false;
        }
        mInFlight++;
        return true;
    }

    /** Returns whether a request may enter now. */
    public boolean hasRoom(long nowNanos) {
        return inFlight(nowNanos) < mCap;
    }

    /**
     * Gives a place back.
     *
     * @throws IllegalStateException if no place is taken
     */
    public void leave() {
        checkPlaceTaken();
        mInFlight--;
    }

    /**
     * Gives a place back at {@code atNanos}, for work that may still run until then. Calls come in
     * the order of their instants.
     *
     * @throws IllegalStateException if no place is taken
     */
    public void leaveAt(long atNanos) {
        checkPlaceTaken();
        mLeavingAtNanos.add(atNanos);
    }

    private void checkPlaceTaken() {
        if (mLeavingAtNanos.size() >= mInFlight) {
            throw new IllegalStateException("no request is in flight");
        }
    }

    /** Returns the requests in flight, those carried over and those that may still run included. */
    public int inFlight(long nowNanos) {
        return entered(nowNanos) + (nowNanos < mCarriedUntilNanos ? mCarriedOver : 0);
    }

    /** Returns the requests that entered and may still run, without those carried over. */
    public int entered(long nowNanos) {
        while (!mLeavingAtNanos.isEmpty() && mLeavingAtNanos.peekFirst() - nowNanos <= 0) {
            mLeavingAtNanos.removeFirst();
            mInFlight--;
        }
        return mInFlight;
    }

    /** Returns when carried-over work ends, or {@code nowNanos} if there is none. */
    public long carriedUntilNanos(long nowNanos) {
        return mCarriedOver > 0 ? Math.max(nowNanos, mCarriedUntilNanos) : nowNanos;
    }

    /** Returns the cap. */
    public int cap() {
        return mCap;
    }
}
