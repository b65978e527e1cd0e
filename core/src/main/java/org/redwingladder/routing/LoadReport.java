package org.redwingladder.routing;

/**
 * Holds what a backend server says of itself, in a load report or in headers of an answer.
 *
 * @param inFlight how many requests it works on
 * @param slots how many requests it can work on at a time
 * @param state its own state
 */
public record LoadReport(int inFlight, int slots, State state) {

    /** Names the state that a backend server reports. */
    public enum State {
        STARTING,
        SERVING,
        DRAINING
    }
}
