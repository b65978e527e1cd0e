package org.redwingladder.steering;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The request rates that backend servers accept, as far as this host knows them from answers and
 * from other hosts. An answer changes a limit only if its request was sent after this host learned
 * that limit. Not thread-safe.
 */
public final class ServerRateLimitTable extends ServerConditionTable<ServerRateLimit> {
    private ServerRateLimitTable(String self) {
        super(self);
    }

    /** Creates the empty table of the host named {@code self}. */
    public static ServerRateLimitTable create(String self) {
        return new ServerRateLimitTable(self);
    }

    /**
     * Records what an answer of a server states.
     *
     * @param sentNanos when the request was sent
     * @return the new limit if the answer changed it, otherwise null
     */
    public @Nullable ServerRateLimit recordAnswer(
            ServerRegistration server, RateLimitStatement statement, long sentNanos, long now) {
        return switch (statement) {
            case RateLimitStatement.Limited limited ->
                    update(server, limited.perSecond(), sentNanos, now);
            case RateLimitStatement.Unlimited unlimited -> update(server, null, sentNanos, now);
            case RateLimitStatement.Unreadable unreadable -> null;
        };
    }

    private @Nullable ServerRateLimit update(
            ServerRegistration server, @Nullable Double perSecond, long sentNanos, long now) {
        Entry<ServerRateLimit> entry = find(server);
        if (entry == null && perSecond == null) {
            return null;
        }
        if (entry != null
                && (!entry.precedes(sentNanos)
                        || Objects.equals(entry.condition().perSecond(), perSecond))) {
            return null;
        }
        long version = entry == null ? 1 : entry.condition().version() + 1;
        ServerRateLimit limit =
                new ServerRateLimit(
                        server.id(), server.startedMillis(), perSecond, version, self());
        put(limit, now);
        return limit;
    }

    /**
     * Returns the rate that a server accepts from all hosts together, in requests per second;
     * infinity if it is not limited.
     */
    public double perSecond(ServerRegistration server) {
        Entry<ServerRateLimit> entry = find(server);
        return entry == null ? Double.POSITIVE_INFINITY : entry.condition().effectivePerSecond();
    }
}
