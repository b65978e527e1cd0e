package org.redwingladder.routing;

import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;

/** Tells the driver of a {@link SiteDispatcher} what to do. Actions are carried out in order. */
public sealed interface DispatchAction
        permits DispatchAction.Send,
                DispatchAction.Deliver,
                DispatchAction.Refuse,
                DispatchAction.Cancel {

    /**
     * Sends a request to a backend server.
     *
     * @param request the request
     * @param attempt a number that names this attempt in later calls
     * @param backend the backend server's name
     * @param kind why it is sent
     */
    record Send(SiteRequest request, long attempt, String backend, AttemptKind kind)
            implements DispatchAction {}

    /**
     * Passes an attempt's answer on to the client, as the only final answer of its request.
     *
     * @param request the request
     * @param attempt the attempt whose answer has arrived or has begun to arrive
     */
    record Deliver(SiteRequest request, long attempt) implements DispatchAction {}

    /**
     * Refuses a request, as its only final answer.
     *
     * @param request the request
     * @param reason why it is refused
     * @param outcome whether the work may have run
     * @param retryAtNanos when to come back on the owner's monotonic clock; 0 if that cannot help
     */
    record Refuse(SiteRequest request, RefusalReason reason, Outcome outcome, long retryAtNanos)
            implements DispatchAction {}

    /**
     * Gives an attempt up by closing its connection.
     *
     * <p>{@link SiteDispatcher#attemptEnded} must not be called for it any more.
     *
     * @param attempt the attempt
     * @param backend the backend server's name
     */
    record Cancel(long attempt, String backend) implements DispatchAction {}
}
