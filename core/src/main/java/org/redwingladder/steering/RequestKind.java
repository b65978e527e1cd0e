package org.redwingladder.steering;

/** Whether the requests of a route may be retried and hedged. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Must not run more than once for each attempt of a client. */
    NON_IDEMPOTENT,
    /** May run more than once, and has a large answer. */
    DOWNLOAD;

    /** Returns whether a request may run more than once. */
    public boolean retryable() {
        return this != NON_IDEMPOTENT;
    }
}
