package org.redwingladder.entry;

import java.util.List;
import org.redwingladder.steering.ServerLeaving;
import org.redwingladder.steering.ServerLeavingTable;
import org.redwingladder.steering.ServerRegistration;

/**
 * The backend servers that said in an answer that they leave, to this host or to another one. Logs
 * each. Runs on the I/O thread.
 */
final class Leavings {
    private final ServerLeavingTable mTable;
    private final EventLog mLog;
    private final ReplicatedConditions<ServerLeaving> mReplicated;

    Leavings(String host, EventLog log) {
        mTable = ServerLeavingTable.create(host);
        mLog = log;
        mReplicated = new ReplicatedConditions<>(mTable, this::log);
    }

    ServerLeavingTable table() {
        return mTable;
    }

    /** Returns the leavings as hosts tell them to each other. */
    ReplicatedConditions<ServerLeaving> replicated() {
        return mReplicated;
    }

    /** Records that a server says that it leaves. */
    void recordLeaving(ServerRegistration server) {
        ServerLeaving leaving = mTable.recordLeaving(server, System.nanoTime());
        if (leaving != null) {
            mReplicated.changed(List.of(leaving));
        }
    }

    private void log(ServerLeaving leaving) {
        mLog.event("state", "server-leaving")
                .with("server", leaving.server())
                .with("from", leaving.source())
                .write();
    }
}
