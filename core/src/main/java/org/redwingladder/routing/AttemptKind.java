package org.redwingladder.routing;

/** Tells why a request is sent to a backend server. */
public enum AttemptKind {
    /** The first and, for most requests, only attempt. */
    PRIMARY,
    /** A second attempt because the first takes longer than most of its class. */
    HEDGE,
    /** A copy that finds out whether an ejected backend server has recovered. */
    PROBE
}
