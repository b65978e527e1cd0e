package org.redwingladder.steering;

/** Tells how one send to a backend server ended. */
public enum SendResult {
    /** The server ran the request and answered. */
    ANSWERED,
    /** The server ran the request and answered with a failure of its own. */
    FAILED,
    /** The server turned the request away because it has no room. */
    FULL,
    /** Another server listens at the address. */
    MISDIRECTED,
    /** No connection could be made; the request was not sent. */
    UNREACHABLE,
    /** The answer was lost, incomplete or not in the protocol. */
    LOST,
    /** The answer did not arrive in time. */
    TIMED_OUT,
    /** This host gave the request up, for example because the client left. */
    CANCELLED
}
