package org.redwingladder.steering;

/**
 * The load that a backend server reports with an answer.
 *
 * @param running the number of requests being processed
 * @param waiting the number of requests in the server's queue
 * @param slots the number of requests that the server processes concurrently
 */
public record LoadSample(int running, int waiting, int slots) {}
