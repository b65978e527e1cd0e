package org.redwingladder.control;

import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.PathHandler;
import org.redwingladder.membership.Heartbeat;
import org.redwingladder.membership.SiteRelease;

/** Routes the control messages of the peer listener. */
public final class PeerRoutes {
    private PeerRoutes() {}

    /** Adds the routes of roster and zones to {@code paths}. */
    public static void add(PathHandler paths, RosterDriver roster, ZoneGossip zones) {
        paths.addExactPath(
                "/peer/v1/heartbeat", JsonHttpHandlers.post(Heartbeat.class, roster::heartbeat));
        paths.addExactPath(
                "/peer/v1/release", JsonHttpHandlers.post(SiteRelease.class, roster::release));
        HttpHandler exchange = JsonHttpHandlers.post(ZoneGossip.Message.class, zones::receive);
        paths.addExactPath("/peer/v1/zones", exchange);
    }
}
