package org.redwingladder.steering;

/** Tells what may be repeated. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of a client. */
    NON_IDEMPOTENT,
    /** Has a large answer and may run more than once. */
    DOWNLOAD;

    /** Returns whether a request may run more than once. */
    public boolean repeatable() {
        return this != NON_IDEMPOTENT;
    }
}
