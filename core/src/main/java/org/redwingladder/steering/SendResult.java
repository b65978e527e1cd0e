package org.redwingladder.steering;

import java.util.Set;

/** The result of sending a request to a backend server. */
public enum SendResult {
    /** The server ran the request and answered. */
    ANSWERED,
    /** The server ran the request and answered with a server error. */
    FAILED,
    /**
     * The server processed the request and answered with a status that promises a client that the
     * request has not run. Nothing proves that, so the response cannot be forwarded.
     */
    UNPROVEN_REFUSAL,
    /** The server rejected the request because it is at capacity. */
    FULL,
    /** A different server answered at the address. */
    MISDIRECTED,
    /** No connection could be made; the request was not sent. */
    UNREACHABLE,
    /** The server became unusable before the request was sent to it. */
    WITHDRAWN,
    /** The answer was lost, truncated, malformed or contradicts itself. */
    LOST,
    /** The answer did not arrive before the timeout. */
    TIMED_OUT,
    /** This host cancelled the request, for example because the client disconnected. */
    CANCELLED;

    private static final int MIN_REDIRECTION = 300;
    private static final int MIN_SERVER_ERROR = 500;

    /** The statuses that promise a client that its request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Returns whether a status promises a client that its request has not run and never will. */
    public static boolean promisesNotRun(int status) {
        return NOT_RUN_STATUSES.contains(status);
    }

    /**
     * Returns the result that the response of a server stands for.
     *
     * @param notRun whether the response states that the request did not run
     * @param misdirected whether another server than the expected one answered
     * @param processed whether the response states that the server processed the request
     */
    public static SendResult ofResponse(
            int status, boolean notRun, boolean misdirected, boolean processed) {
        if (notRun || misdirected) {
            if (processed || status < MIN_REDIRECTION) {
                return LOST;
            }
            return misdirected ? MISDIRECTED : FULL;
        }
        if (!processed) {
            return LOST;
        }
        if (promisesNotRun(status)) {
            return UNPROVEN_REFUSAL;
        }
        return status >= MIN_SERVER_ERROR ? FAILED : ANSWERED;
    }

    /** Returns whether no byte of the request was sent to the server. */
    public boolean neverSent() {
        return this == UNREACHABLE || this == WITHDRAWN;
    }

    /** Returns whether the result proves that the server has not run the request. */
    public boolean provesNotRun() {
        return switch (this) {
            case FULL, MISDIRECTED, UNREACHABLE, WITHDRAWN -> true;
            case ANSWERED, FAILED, UNPROVEN_REFUSAL, LOST, TIMED_OUT, CANCELLED -> false;
        };
    }
}
