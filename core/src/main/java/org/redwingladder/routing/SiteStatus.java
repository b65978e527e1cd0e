package org.redwingladder.routing;

import java.util.List;

/**
 * A snapshot of the state of a site's dispatcher.
 *
 * @param service the site's service
 * @param queuedShort how many short requests are queued
 * @param queuedLong how many long requests are queued
 * @param inFlightShort how many attempts at short requests are in flight
 * @param inFlightLong how many attempts at long requests are in flight
 * @param backends the backend servers
 */
public record SiteStatus(
        String service,
        int queuedShort,
        int queuedLong,
        int inFlightShort,
        int inFlightLong,
        List<Backend> backends) {

    public SiteStatus {
        backends = List.copyOf(backends);
    }

    /** The state of a backend server as its site's owner sees it. */
    public enum State {
        SERVING,
        RAMPING,
        EJECTED,
        LEAVING
    }

    /**
     * A snapshot of one backend server.
     *
     * @param name its name
     * @param state its state
     * @param inFlight how many attempts are in flight
     * @param usableSlots how many attempts may be in flight
     */
    public record Backend(String name, State state, int inFlight, int usableSlots) {}
}
