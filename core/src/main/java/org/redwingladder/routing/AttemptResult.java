package org.redwingladder.routing;

/** How an attempt at a backend server ended. */
public enum AttemptResult {
    /** The complete response arrived. */
    ANSWERED,
    /** The backend server shed the request with {@code Redwing-Not-Run}. */
    SHED,
    /** The connection was refused; nothing was sent. */
    CONNECTION_REFUSED,
    /** The connection was lost after the request was sent. */
    CONNECTION_LOST,
    /** The response was malformed, truncated, or belonged to another request. */
    INVALID_RESPONSE
}
