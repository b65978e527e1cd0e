package org.redwingladder.steering;

import static java.util.Objects.requireNonNull;

/**
 * Tracks the attempts of one request and decides whether it may be retried or hedged.
 *
 * <p>A non-idempotent request is retried only if no earlier attempt can have run. Not thread-safe.
 */
public final class SendHistory {
    /** Limit for attempts that reach no server, which do not count towards the route's limit. */
    private static final int MAX_UNREACHABLE = 3;

    private final Route mRoute;
    private int mMayHaveRun;
    private int mReached;
    private int mUnreachable;

    private SendHistory(Route route) {
        mRoute = requireNonNull(route);
    }

    /** Creates the tracker of a request that has not been sent. */
    public static SendHistory create(Route route) {
        return new SendHistory(route);
    }

    /** Records that an attempt is sent. */
    public void sent() {
        mReached++;
        mMayHaveRun++;
    }

    /** Records that the last attempt reached a server that rejected the request without running it. */
    public void turnedAway() {
        mMayHaveRun--;
    }

    /** Records that the last attempt did not reach a server. */
    public void neverSent() {
        mMayHaveRun--;
        mReached--;
        mUnreachable++;
    }

    /** Returns whether any attempt may have run at a server. */
    public boolean mayHaveRun() {
        return mMayHaveRun > 0;
    }

    /** Returns whether the route allows another attempt. */
    public boolean attemptsLeft() {
        return mReached < mRoute.maxAttempts();
    }

    /** Returns whether the request may be hedged, that is sent while an earlier attempt is open. */
    public boolean mayBeDoubled() {
        return mRoute.kind().repeatable() && mRoute.maxAttempts() > 1;
    }

    /**
     * Returns whether the request may be retried after an attempt without a usable answer.
     *
     * @param last the result of the last attempt
     * @param remainingNanos the time until the request's deadline
     */
    public boolean maySendAgain(SendResult last, long remainingNanos) {
        if (remainingNanos <= 0 || !attemptsLeft()) {
            return false;
        }
        if (last == SendResult.UNREACHABLE && mUnreachable >= MAX_UNREACHABLE) {
            return false;
        }
        return !mayHaveRun() || mRoute.kind().repeatable();
    }
}
