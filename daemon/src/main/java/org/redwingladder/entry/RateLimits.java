package org.redwingladder.entry;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.redwingladder.steering.RateLimitStatement;
import org.redwingladder.steering.ServerRateLimit;
import org.redwingladder.steering.ServerRateLimitTable;
import org.redwingladder.steering.ServerRegistration;

/**
 * The rate limits that backend servers name, as this host read them in answers or heard of them
 * from other hosts. Logs each change. Runs on the I/O thread.
 */
final class RateLimits {
    private final ServerRateLimitTable mTable;
    private final EventLog mLog;
    private final Set<String> mUnreadable = new HashSet<>();
    private final ReplicatedConditions<ServerRateLimit> mReplicated;

    RateLimits(String host, EventLog log) {
        mTable = ServerRateLimitTable.create(host);
        mLog = log;
        mReplicated = new ReplicatedConditions<>(mTable, this::log);
    }

    ServerRateLimitTable table() {
        return mTable;
    }

    /** Returns the limits as hosts tell them to each other. */
    ReplicatedConditions<ServerRateLimit> replicated() {
        return mReplicated;
    }

    /** Replaces the registered servers. */
    void updateServers(Collection<ServerRegistration> servers, long nowNanos) {
        mTable.updateServers(servers, nowNanos);
        Set<String> ids = new HashSet<>();
        servers.forEach(server -> ids.add(server.id()));
        mUnreadable.retainAll(ids);
    }

    /**
     * Records what an answer of a server states.
     *
     * @param sentNanos when the request was sent
     */
    void recordAnswer(ServerRegistration server, RateLimitStatement statement, long sentNanos) {
        if (statement instanceof RateLimitStatement.Unreadable unreadable) {
            if (mUnreadable.add(server.id())) {
                mLog.event("state", "server-limit-unreadable")
                        .with("server", server.id())
                        .with("value", unreadable.text())
                        .write();
            }
            return;
        }
        ServerRateLimit changed =
                mTable.recordAnswer(server, statement, sentNanos, System.nanoTime());
        if (changed != null) {
            mReplicated.changed(List.of(changed));
        }
    }

    private void log(ServerRateLimit limit) {
        mLog.event("state", limit.perSecond() == null ? "server-limit-ended" : "server-limit")
                .with("server", limit.server())
                .with("perSecond", limit.perSecond())
                .with("version", limit.version())
                .with("from", limit.source())
                .write();
    }
}
