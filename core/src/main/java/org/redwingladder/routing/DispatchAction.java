package org.redwingladder.routing;

import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;

/** An action for the driver of a {@link SiteDispatcher}, to be carried out in order. */
public sealed interface DispatchAction
        permits DispatchAction.Send,
                DispatchAction.Deliver,
                DispatchAction.Refuse,
                DispatchAction.Cancel {

    /**
     * Sends a request to a backend server.
     *
     * @param request the request
     * @param attempt the number that identifies this attempt in later calls
     * @param backend the backend server's name
     * @param kind why it is sent
     */
    record Send(SiteRequest request, long attempt, String backend, AttemptKind kind)
            implements DispatchAction {}

    /**
     * Delivers an attempt's response to the client, as the only final response to its request.
     *
     * @param request the request
     * @param attempt the attempt whose response has arrived or has begun to arrive
     */
    record Deliver(SiteRequest request, long attempt) implements DispatchAction {}

    /**
     * Refuses a request, as the only final response to it.
     *
     * @param request the request
     * @param reason why it is refused
     * @param outcome whether the work may have run
     * @param retryAtNanos when to retry, on the owner's monotonic clock; 0 if a retry cannot help
     */
    record Refuse(SiteRequest request, RefusalReason reason, Outcome outcome, long retryAtNanos)
            implements DispatchAction {}

    /**
     * Cancels an attempt by closing its connection.
     *
     * <p>{@link SiteDispatcher#attemptEnded} must not be called for it afterwards.
     *
     * @param attempt the attempt
     * @param backend the backend server's name
     */
    record Cancel(long attempt, String backend) implements DispatchAction {}
}
