package org.redwingladder.routing;

/**
 * The load that a backend server reports, at its load endpoint or in response headers.
 *
 * @param inFlight how many requests it is running
 * @param slots how many requests it can run concurrently
 * @param state its lifecycle state
 */
public record LoadReport(int inFlight, int slots, State state) {

    /** The lifecycle state that a backend server reports. */
    public enum State {
        STARTING,
        SERVING,
        DRAINING
    }
}
