package org.redwingladder.steering;

import org.jspecify.annotations.Nullable;

/** The backend servers that said that they leave, to this host or to another one. */
public final class ServerLeavingTable extends ServerConditionTable<ServerLeaving> {
    private ServerLeavingTable(String self) {
        super(self);
    }

    /** Creates the empty table of the host named {@code self}. */
    public static ServerLeavingTable create(String self) {
        return new ServerLeavingTable(self);
    }

    /** Records that a server says that it leaves; returns null if that is known. */
    public @Nullable ServerLeaving recordLeaving(ServerRegistration server, long nowNanos) {
        if (leaving(server)) {
            return null;
        }
        ServerLeaving leaving = new ServerLeaving(server.id(), server.startedMillis(), self());
        put(leaving, nowNanos);
        return leaving;
    }

    /** Returns whether a server said that it leaves. */
    public boolean leaving(ServerRegistration server) {
        return find(server) != null;
    }
}
