package org.redwingladder.routing;

/** Tells how an attempt at a backend server ended. */
public enum AttemptResult {
    /** The whole answer has arrived. */
    ANSWERED,
    /** The backend server refused the work with {@code Redwing-Not-Run}. */
    SHED,
    /** No connection could be made; nothing was sent. */
    CONNECTION_REFUSED,
    /** The connection broke after the request was sent. */
    CONNECTION_LOST,
    /** The answer was malformed, cut off, or belonged to another request. */
    INVALID_RESPONSE
}
