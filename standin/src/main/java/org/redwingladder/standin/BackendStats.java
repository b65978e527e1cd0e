package org.redwingladder.standin;

/**
 * Counts what a backend server has done since its start.
 *
 * @param requests requests that arrived whole
 * @param started requests that took a slot
 * @param completed runs that came to their end
 * @param cancelled runs that ended because their connection was closed
 * @param dropped requests whose connection was closed while they waited for a slot
 * @param shed requests refused for lack of room or by the fault {@code shed}
 * @param expired requests refused because their deadline or start-by time had passed
 * @param inFlight requests that run or wait now
 * @param maxInFlight the most requests that ran or waited at once
 * @param connections connections that are open now
 * @param connectionsOpened connections that have carried a request
 */
public record BackendStats(
        long requests,
        long started,
        long completed,
        long cancelled,
        long dropped,
        long shed,
        long expired,
        int inFlight,
        int maxInFlight,
        int connections,
        long connectionsOpened) {}
