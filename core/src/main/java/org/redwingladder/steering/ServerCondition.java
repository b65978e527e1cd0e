package org.redwingladder.steering;

/**
 * Something that hosts know of one incarnation of a backend server beside its registration. Hosts
 * forward it to each other; versions order its changes.
 *
 * @param <T> the kind of condition
 */
public sealed interface ServerCondition<T extends ServerCondition<T>>
        permits ServerLeaving, ServerRateLimit, ServerWarmUp {
    /** Returns the server's id. */
    String server();

    /** Returns the start time of the incarnation; see {@link ServerRegistration}. */
    long startedMillis();

    /** Returns a number that increases with each change of the condition. */
    long version();

    /** Returns the name of the host that noticed the condition. */
    String source();

    /**
     * Returns whether this condition replaces {@code other}, which concerns the same incarnation.
     */
    boolean supersedes(T other);

    /** Returns a hash of what this condition states beside its version. */
    int statementHash();
}
