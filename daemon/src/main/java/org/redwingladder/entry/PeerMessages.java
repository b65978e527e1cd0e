package org.redwingladder.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.ServerLeaving;
import org.redwingladder.steering.ServerRateLimit;
import org.redwingladder.steering.ServerWarmUp;

/** The messages of the gossip and replication protocol between entry hosts. */
final class PeerMessages {
    private PeerMessages() {}

    /**
     * Membership entries and the versions of the sender's table replicas.
     *
     * @param from the sender's name
     * @param hosts the hosts that the sender considers recently alive
     * @param controlChanged the version of the last known change of the control table
     * @param serversChanged the version of the last known change of the servers table
     * @param limitsDigest a hash of the rate limits of servers that the sender knows, 0 if it knows
     *     none
     * @param limits these rate limits in a response to a message with another digest; otherwise
     *     null, as in messages of hosts that do not send rate limits
     * @param warmUpsDigest a hash of the warm-ups of servers that the sender knows beside their
     *     registrations, 0 if it knows none
     * @param warmUps these warm-ups, under the same condition as {@code limits}
     * @param leavingsDigest a hash of the servers that said that they leave, as far as the sender
     *     knows, 0 if it knows none
     * @param leavings these servers, under the same condition as {@code limits}
     * @param controlEra the era of {@code controlChanged}; 0 if none is known, as in messages of
     *     hosts that do not send eras
     * @param serversEra the era of {@code serversChanged}
     */
    record GossipMessage(
            String from,
            List<HostState> hosts,
            long controlChanged,
            long serversChanged,
            long limitsDigest,
            @Nullable List<ServerRateLimit> limits,
            long warmUpsDigest,
            @Nullable List<WarmUp> warmUps,
            long leavingsDigest,
            @Nullable List<ServerLeaving> leavings,
            long controlEra,
            long serversEra) {
        /** Returns the version of the last known change of the control table. */
        StoreVersion control() {
            return new StoreVersion(controlEra, controlChanged);
        }

        /** Returns the version of the last known change of the servers table. */
        StoreVersion servers() {
            return new StoreVersion(serversEra, serversChanged);
        }
    }

    /**
     * The part of a {@link GossipMessage} about servers; the components are those of the message.
     */
    record ConditionNews(
            long limitsDigest,
            @Nullable List<ServerRateLimit> limits,
            long warmUpsDigest,
            @Nullable List<WarmUp> warmUps,
            long leavingsDigest,
            @Nullable List<ServerLeaving> leavings) {}

    /** Rate limits that the receiver may not know yet. */
    record RateLimitPush(List<ServerRateLimit> limits) {
        RateLimitPush {
            if (limits == null) {
                throw new IllegalArgumentException("missing rate limits");
            }
        }
    }

    /** Servers that leave, which the receiver may not know yet. */
    record LeavingPush(List<ServerLeaving> leavings) {
        LeavingPush {
            if (leavings == null) {
                throw new IllegalArgumentException("missing leavings");
            }
        }
    }

    /** Warm-ups that the receiver may not know yet. */
    record WarmUpPush(List<WarmUp> warmUps) {
        WarmUpPush {
            if (warmUps == null) {
                throw new IllegalArgumentException("missing warm-ups");
            }
        }
    }

    /**
     * The warm-up of a server, with the time that is left as hosts have no common clock.
     *
     * @param coldMillis for how much longer the server is cold, null while it is absent; the other
     *     components are those of {@link ServerWarmUp}
     */
    record WarmUp(
            String server,
            long startedMillis,
            @Nullable Long coldMillis,
            long version,
            String source) {
        private static final long MAX_COLD_MILLIS = TimeUnit.DAYS.toMillis(1);

        WarmUp {
            if (coldMillis != null && !(coldMillis >= 0 && coldMillis <= MAX_COLD_MILLIS)) {
                throw new IllegalArgumentException("server " + server + ": cold " + coldMillis);
            }
        }

        static WarmUp of(ServerWarmUp warmUp, long nowNanos) {
            Long left =
                    switch (warmUp.state()) {
                        case ServerWarmUp.State.Awaited awaited -> null;
                        case ServerWarmUp.State.Begun begun ->
                                Math.clamp(
                                        TimeUnit.NANOSECONDS.toMillis(
                                                begun.untilNanos() - nowNanos),
                                        0,
                                        MAX_COLD_MILLIS);
                    };
            return new WarmUp(
                    warmUp.server(),
                    warmUp.startedMillis(),
                    left,
                    warmUp.version(),
                    warmUp.source());
        }

        ServerWarmUp received(long nowNanos) {
            ServerWarmUp.State state =
                    coldMillis == null
                            ? new ServerWarmUp.State.Awaited()
                            : new ServerWarmUp.State.Begun(
                                    nowNanos + TimeUnit.MILLISECONDS.toNanos(coldMillis));
            return new ServerWarmUp(server, startedMillis, state, version, source);
        }

        static List<WarmUp> ofAll(List<ServerWarmUp> warmUps, long nowNanos) {
            return warmUps.stream().map(warmUp -> of(warmUp, nowNanos)).toList();
        }

        static List<ServerWarmUp> receivedAll(List<WarmUp> warmUps, long nowNanos) {
            return warmUps.stream().map(warmUp -> warmUp.received(nowNanos)).toList();
        }
    }

    /**
     * A snapshot of a table.
     *
     * @param table the table
     * @param position the version up to which the snapshot is complete
     * @param changed the version of the last change
     * @param holdMillis the remaining time for which the sender keeps lapsed entries, 0 if it keeps
     *     none
     * @param rows all rows
     * @param era the era of the versions, 0 if none is known
     */
    record TableSnapshot(
            StoreTable table,
            long position,
            long changed,
            long holdMillis,
            List<StoreRow> rows,
            long era) {
        /** Returns the version up to which the snapshot is complete. */
        StoreVersion version() {
            return new StoreVersion(era, position);
        }

        /** Returns the version of the last change. */
        StoreVersion lastChange() {
            return new StoreVersion(era, changed);
        }
    }

    /**
     * Consecutive changes of a table, as the sender received them from the store.
     *
     * @param table the table
     * @param after the position to which the changes apply
     * @param position the position after the changes
     * @param holdMillis the remaining time for which the sender keeps lapsed entries, 0 if it keeps
     *     none
     * @param rows the changed rows
     * @param afterEra the era of {@code after}, 0 if none is known
     * @param era the era of {@code position} and of the rows, 0 if none is known
     * @param difference whether the rows are the difference of two readings of the whole table,
     *     which applies at {@code after} only
     */
    record TableChanges(
            StoreTable table,
            long after,
            long position,
            long holdMillis,
            List<StoreRow> rows,
            long afterEra,
            long era,
            boolean difference) {
        /** Returns the version to which the changes apply. */
        StoreVersion afterVersion() {
            return new StoreVersion(afterEra, after);
        }

        /** Returns the version after the changes. */
        StoreVersion version() {
            return new StoreVersion(era, position);
        }
    }

    /**
     * Pushes changes to a peer.
     *
     * @param from the peer address of the sender, whose replica has all changes before these
     * @param changes the changes
     */
    record ChangePush(String from, TableChanges changes) {}

    /**
     * Requests snapshots of the tables whose replicas are newer than the sender's.
     *
     * @param controlPosition the sender's position in the control table
     * @param serversPosition the sender's position in the servers table
     * @param controlEra the era of {@code controlPosition}, 0 if none is known
     * @param serversEra the era of {@code serversPosition}, 0 if none is known
     */
    record SnapshotRequest(
            long controlPosition, long serversPosition, long controlEra, long serversEra) {
        /** Returns a request for snapshots that are newer than the given positions. */
        static SnapshotRequest after(StoreVersion control, StoreVersion servers) {
            return new SnapshotRequest(
                    control.number(), servers.number(), control.era(), servers.era());
        }

        /** Returns the sender's positions. */
        Map<StoreTable, StoreVersion> positions() {
            return Map.of(
                    StoreTable.CONTROL, new StoreVersion(controlEra, controlPosition),
                    StoreTable.SERVERS, new StoreVersion(serversEra, serversPosition));
        }
    }

    /** The requested snapshots. */
    record SnapshotResponse(List<TableSnapshot> tables) {}
}
