package org.redwingladder.steering;

/**
 * Bounds what a client may send and how long it may take.
 *
 * @param maxHeaderBytes the size of a request's head
 * @param maxBodyBytes the size of a request's body
 * @param headerTimeoutMillis the time in which a head has to arrive
 * @param idleTimeoutMillis how long a connection may stay unused
 */
public record ClientLimits(
        int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
