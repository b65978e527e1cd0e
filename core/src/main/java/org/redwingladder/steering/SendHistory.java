package org.redwingladder.steering;

import static java.util.Objects.requireNonNull;

/**
 * Counts the sends of one request and decides whether it may be sent again.
 *
 * <p>Work that must not repeat is sent again only while all sends before have certainly not run.
 * Not thread-safe.
 */
public final class SendHistory {
    /** Sends that did not reach a server are tried elsewhere this often. */
    private static final int MAX_UNREACHABLE = 3;

    private final Route mRoute;
    private int mMayHaveRun;
    private int mReached;
    private int mUnreachable;

    private SendHistory(Route route) {
        mRoute = requireNonNull(route);
    }

    /** Creates the history of a request that was not sent yet. */
    public static SendHistory create(Route route) {
        return new SendHistory(route);
    }

    /** Counts a send. */
    public void sent() {
        mReached++;
        mMayHaveRun++;
    }

    /** Takes over that the last send reached a server which did not run the request. */
    public void turnedAway() {
        mMayHaveRun--;
    }

    /** Takes over that the last send did not reach a server. */
    public void neverSent() {
        mMayHaveRun--;
        mReached--;
        mUnreachable++;
    }

    /** Returns whether a server may have run the request. */
    public boolean mayHaveRun() {
        return mMayHaveRun > 0;
    }

    /** Returns whether the route allows another send. */
    public boolean attemptsLeft() {
        return mReached < mRoute.maxAttempts();
    }

    /** Returns whether the request may be sent while an earlier send is still out. */
    public boolean mayBeDoubled() {
        return mRoute.kind().repeatable() && mRoute.maxAttempts() > 1;
    }

    /**
     * Returns whether the request may be sent again after a send that brought no answer.
     *
     * @param leftNanos the time in which an answer is of use
     */
    public boolean maySendAgain(SendResult last, long leftNanos) {
        if (leftNanos <= 0 || !attemptsLeft()) {
            return false;
        }
        if (last == SendResult.UNREACHABLE && mUnreachable >= MAX_UNREACHABLE) {
            return false;
        }
        return !mayHaveRun() || mRoute.kind().repeatable();
    }
}
