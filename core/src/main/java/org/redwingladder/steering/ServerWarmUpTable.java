package org.redwingladder.steering;

import org.jspecify.annotations.Nullable;

/**
 * The warm-ups of backend servers that this host noticed or heard of from other hosts, beside those
 * that the registrations tell. Not thread-safe.
 */
public final class ServerWarmUpTable extends ServerConditionTable<ServerWarmUp> {
    /** Two statements of a server about the same warm-up differ by less. */
    private static final long SAME_WARM_UP_NANOS = 500_000_000L;

    private ServerWarmUpTable(String self) {
        super(self);
    }

    /** Creates the empty table of the host named {@code self}. */
    public static ServerWarmUpTable create(String self) {
        return new ServerWarmUpTable(self);
    }

    /**
     * Records that nothing listened at a server's address.
     *
     * @param sentNanos when the connection was attempted
     * @return the changed warm-up, null if the attempt tells nothing new
     */
    public @Nullable ServerWarmUp recordNotListening(
            ServerRegistration server, long sentNanos, long nowNanos) {
        Entry<ServerWarmUp> known = find(server);
        if (known != null && (known.condition().awaited() || !known.precedes(sentNanos))) {
            return null;
        }
        return change(server, known, new ServerWarmUp.State.Awaited(), nowNanos);
    }

    /**
     * Records an answer of a server. One that was absent has started again, and is cold for as long
     * as it says or else for as long as its service takes to warm up.
     *
     * @param coldMillis for how much longer the server says that it is cold, null if it says
     *     nothing
     * @param warmUpMillis the time that servers of the service are cold after their start
     * @param sentNanos when the request was sent
     * @return the changed warm-up, null if the answer tells nothing new
     */
    public @Nullable ServerWarmUp recordAnswer(
            ServerRegistration server,
            @Nullable Long coldMillis,
            long warmUpMillis,
            long sentNanos,
            long nowNanos) {
        Entry<ServerWarmUp> known = find(server);
        boolean returned =
                known != null && known.condition().awaited() && known.precedes(sentNanos);
        if (!returned && coldMillis == null) {
            return null;
        }
        long millis = coldMillis == null ? warmUpMillis : coldMillis;
        long until = nowNanos + millis * 1_000_000;
        if (!returned && !isLater(until, known, nowNanos)) {
            return null;
        }
        return change(server, known, new ServerWarmUp.State.Begun(until), nowNanos);
    }

    private static boolean isLater(
            long untilNanos, @Nullable Entry<ServerWarmUp> known, long nowNanos) {
        if (known == null) {
            return untilNanos - nowNanos > 0;
        }
        return switch (known.condition().state()) {
            // The request was sent before the server was found to be absent.
            case ServerWarmUp.State.Awaited awaited -> false;
            case ServerWarmUp.State.Begun begun ->
                    untilNanos - nowNanos > 0
                            && untilNanos - begun.untilNanos() > SAME_WARM_UP_NANOS;
        };
    }

    private ServerWarmUp change(
            ServerRegistration server,
            @Nullable Entry<ServerWarmUp> known,
            ServerWarmUp.State state,
            long nowNanos) {
        long version = known == null ? 1 : known.condition().version() + 1;
        ServerWarmUp warmUp =
                new ServerWarmUp(server.id(), server.startedMillis(), state, version, self());
        put(warmUp, nowNanos);
        return warmUp;
    }

    /** Returns the warm-up of a server, null if none is known beside its registration. */
    public @Nullable ServerWarmUp warmUp(ServerRegistration server) {
        Entry<ServerWarmUp> known = find(server);
        return known == null ? null : known.condition();
    }
}
