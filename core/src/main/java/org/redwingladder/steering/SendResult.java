package org.redwingladder.steering;

/** The result of sending a request to a backend server. */
public enum SendResult {
    /** The server ran the request and answered. */
    ANSWERED,
    /** The server ran the request and answered with a server error. */
    FAILED,
    /** The server rejected the request because it is at capacity. */
    FULL,
    /** A different server answered at the address. */
    MISDIRECTED,
    /** No connection could be made; the request was not sent. */
    UNREACHABLE,
    /** The answer was lost, truncated or malformed. */
    LOST,
    /** The answer did not arrive before the timeout. */
    TIMED_OUT,
    /** This host cancelled the request, for example because the client disconnected. */
    CANCELLED
}
