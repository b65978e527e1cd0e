package org.redwingladder.steering;

/**
 * Size limits and timeouts for requests and connections of clients.
 *
 * @param maxHeaderBytes the largest size of a request's head
 * @param maxBodyBytes the largest size of a request's body
 * @param headerTimeoutMillis the time within which a request's head must arrive
 * @param idleTimeoutMillis the time after which an idle connection is closed
 */
public record ClientLimits(
        int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
