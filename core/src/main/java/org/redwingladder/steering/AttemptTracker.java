package org.redwingladder.steering;

import static java.util.Objects.requireNonNull;

/**
 * Tracks the attempts of one request and decides whether it may be retried or hedged.
 *
 * <p>A non-idempotent request is retried only if no earlier attempt can have run. Not thread-safe.
 */
public final class AttemptTracker {
    /** Limit for attempts that reach no server, which do not count towards the route's limit. */
    private static final int MAX_UNREACHABLE = 3;

    private final Route mRoute;
    private int mMayHaveRun;
    private int mAttempts;
    private int mUnreachable;

    private AttemptTracker(Route route) {
        mRoute = requireNonNull(route);
    }

    /** Creates the tracker of a request that has not been sent. */
    public static AttemptTracker create(Route route) {
        return new AttemptTracker(route);
    }

    /** Records that an attempt is sent. */
    public void recordSent() {
        mAttempts++;
        mMayHaveRun++;
    }

    /**
     * Records that the last attempt reached a server that rejected the request without running it.
     */
    public void recordRejected() {
        mMayHaveRun--;
    }

    /** Records that the last attempt did not reach a server. */
    public void recordNotSent() {
        mMayHaveRun--;
        mAttempts--;
        mUnreachable++;
    }

    /** Returns whether any attempt may have run at a server. */
    public boolean mayHaveRun() {
        return mMayHaveRun > 0;
    }

    /** Returns whether the route allows another attempt. */
    public boolean hasAttemptsLeft() {
        return mAttempts < mRoute.maxAttempts();
    }

    /** Returns whether the request may be hedged, that is sent while an earlier attempt is open. */
    public boolean mayHedge() {
        return mRoute.kind().retryable() && mRoute.maxAttempts() > 1;
    }

    /**
     * Returns whether the request may be retried after an attempt without a usable answer.
     *
     * @param last the result of the last attempt
     * @param remainingNanos the time until the request's deadline
     */
    public boolean mayRetry(SendResult last, long remainingNanos) {
        if (remainingNanos <= 0 || !hasAttemptsLeft()) {
            return false;
        }
        if (last == SendResult.UNREACHABLE && mUnreachable >= MAX_UNREACHABLE) {
            return false;
        }
        return !mayHaveRun() || mRoute.kind().retryable();
    }
}
