package org.redwingladder.entry;

import java.util.Collection;
import org.redwingladder.steering.ServerRegistration;

/** What this host knows of backend servers beside their registrations. Runs on the I/O thread. */
final class ServerConditions {
    private final RateLimits mRateLimits;
    private final WarmUps mWarmUps;

    ServerConditions(String host, EventLog log) {
        mRateLimits = new RateLimits(host, log);
        mWarmUps = new WarmUps(host, log);
    }

    RateLimits rateLimits() {
        return mRateLimits;
    }

    WarmUps warmUps() {
        return mWarmUps;
    }

    /** Replaces the registered servers. */
    void updateServers(Collection<ServerRegistration> servers, long nowNanos) {
        mRateLimits.updateServers(servers, nowNanos);
        mWarmUps.table().updateServers(servers, nowNanos);
    }

    /** Removes the conditions of servers that have had no registration for a while. */
    void removeExpired(long nowNanos) {
        mRateLimits.table().removeExpired(nowNanos);
        mWarmUps.table().removeExpired(nowNanos);
    }
}
