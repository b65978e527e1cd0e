package org.redwingladder.control;

import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.PathHandler;
import org.redwingladder.membership.Heartbeat;
import org.redwingladder.membership.SiteRelease;

/** Routes of the peer listener for membership and gossip messages. */
public final class PeerRoutes {
    private PeerRoutes() {}

    /** Adds the routes to {@code paths}. */
    public static void add(PathHandler paths, MembershipDriver roster, ZoneGossip zones) {
        paths.addExactPath(
                "/peer/v1/heartbeat", JsonHttpHandlers.post(Heartbeat.class, roster::heartbeat));
        paths.addExactPath(
                "/peer/v1/release", JsonHttpHandlers.post(SiteRelease.class, roster::release));
        HttpHandler exchange = JsonHttpHandlers.post(ZoneGossip.Message.class, zones::receive);
        paths.addExactPath("/peer/v1/zones", exchange);
    }
}
