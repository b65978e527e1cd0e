package org.redwingladder.routing;

/** Why a request is sent to a backend server. */
public enum AttemptKind {
    /** The first and, for most requests, only attempt. */
    PRIMARY,
    /** A hedged attempt, because the first takes longer than most of its class. */
    HEDGE,
    /** A copy that checks whether an ejected backend server has recovered. */
    PROBE
}
