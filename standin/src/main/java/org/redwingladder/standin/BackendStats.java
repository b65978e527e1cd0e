package org.redwingladder.standin;

/**
 * Counters of a backend server since its start.
 *
 * @param requests requests that were received completely
 * @param started requests that were assigned a slot
 * @param completed started requests that completed
 * @param cancelled started requests that were cancelled because their connection was closed
 * @param dropped requests whose connection was closed while they were queued
 * @param shed requests refused because the queue was full or by the fault {@code shed}
 * @param expired requests refused because their deadline or start-by time had passed
 * @param inFlight requests that are currently running or queued
 * @param maxInFlight the peak of {@code inFlight}
 * @param connections connections that are currently open
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
