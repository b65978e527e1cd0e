package org.redwingladder.limits;

/** What happens on a client's connection. */
public sealed interface ConnectionPhase {
    /** No request has arrived yet. */
    record Unused() implements ConnectionPhase {}

    /**
     * The head of a request has arrived and its body has not.
     *
     * @param startNanos when the head had arrived, as of {@link System#nanoTime}
     */
    record Receiving(long startNanos) implements ConnectionPhase {}

    /** A complete request is waiting for its response. */
    record Working() implements ConnectionPhase {}

    /** A response is being sent. */
    record Sending() implements ConnectionPhase {}

    /** The last response has been sent. */
    record Idle() implements ConnectionPhase {}
}
