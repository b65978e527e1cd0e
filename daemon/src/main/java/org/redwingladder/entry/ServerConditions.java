package org.redwingladder.entry;

import java.util.Collection;
import org.redwingladder.steering.ServerRegistration;

/** What this host knows of backend servers beside their registrations. Runs on the I/O thread. */
final class ServerConditions {
    private final RateLimits mRateLimits;
    private final WarmUps mWarmUps;
    private final Leavings mLeavings;

    ServerConditions(String host, EventLog log) {
        mRateLimits = new RateLimits(host, log);
        mWarmUps = new WarmUps(host, log);
        mLeavings = new Leavings(host, log);
    }

    RateLimits rateLimits() {
        return mRateLimits;
    }

    WarmUps warmUps() {
        return mWarmUps;
    }

    Leavings leavings() {
        return mLeavings;
    }

    /** Replaces the registered servers. */
    void updateServers(Collection<ServerRegistration> servers, long nowNanos) {
        mRateLimits.updateServers(servers, nowNanos);
        mWarmUps.table().updateServers(servers, nowNanos);
        mLeavings.table().updateServers(servers, nowNanos);
    }

    /** Removes the conditions of servers that have had no registration for a while. */
    void removeExpired(long nowNanos) {
        mRateLimits.table().removeExpired(nowNanos);
        mWarmUps.table().removeExpired(nowNanos);
        mLeavings.table().removeExpired(nowNanos);
    }
}
