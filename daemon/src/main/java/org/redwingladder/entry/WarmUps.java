package org.redwingladder.entry;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.ServerRegistration;
import org.redwingladder.steering.ServerWarmUp;
import org.redwingladder.steering.ServerWarmUpTable;

/**
 * The warm-ups of backend servers that hosts noticed before the registrations told them. Logs each
 * change. Runs on the I/O thread.
 */
final class WarmUps {
    private final ServerWarmUpTable mTable;
    private final EventLog mLog;
    private final ReplicatedConditions<ServerWarmUp> mReplicated;

    WarmUps(String host, EventLog log) {
        mTable = ServerWarmUpTable.create(host);
        mLog = log;
        mReplicated = new ReplicatedConditions<>(mTable, this::log);
    }

    ServerWarmUpTable table() {
        return mTable;
    }

    /** Returns the warm-ups as hosts tell them to each other. */
    ReplicatedConditions<ServerWarmUp> replicated() {
        return mReplicated;
    }

    /**
     * Records that nothing listened at a server's address.
     *
     * @param sentNanos when the connection was attempted
     */
    void recordNotListening(ServerRegistration server, long sentNanos) {
        changed(mTable.recordNotListening(server, sentNanos, System.nanoTime()));
    }

    /**
     * Records an answer of a server.
     *
     * @param coldMillis for how much longer the server says that it is cold, null if it says
     *     nothing
     * @param warmUpMillis the time that servers of the service are cold after their start
     * @param sentNanos when the request was sent
     */
    void recordAnswer(
            ServerRegistration server,
            @Nullable Long coldMillis,
            long warmUpMillis,
            long sentNanos) {
        changed(
                mTable.recordAnswer(
                        server, coldMillis, warmUpMillis, sentNanos, System.nanoTime()));
    }

    private void changed(@Nullable ServerWarmUp warmUp) {
        if (warmUp != null) {
            mReplicated.changed(List.of(warmUp));
        }
    }

    private void log(ServerWarmUp warmUp) {
        switch (warmUp.state()) {
            case ServerWarmUp.State.Awaited awaited ->
                    mLog.event("state", "server-absent")
                            .with("server", warmUp.server())
                            .with("version", warmUp.version())
                            .with("from", warmUp.source())
                            .write();
            case ServerWarmUp.State.Begun begun ->
                    mLog.event("state", "server-cold")
                            .with("server", warmUp.server())
                            .with("millis", remainingMillis(begun))
                            .with("version", warmUp.version())
                            .with("from", warmUp.source())
                            .write();
        }
    }

    private static long remainingMillis(ServerWarmUp.State.Begun begun) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(begun.untilNanos() - System.nanoTime()));
    }
}
