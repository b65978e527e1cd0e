package org.redwingladder.steering;

/**
 * Holds what a backend server said of its load with an answer.
 *
 * @param running the requests it worked on
 * @param waiting the requests in its queue
 * @param slots how many requests it works on at once
 */
public record LoadSample(int running, int waiting, int slots) {}
