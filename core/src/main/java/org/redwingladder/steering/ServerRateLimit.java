package org.redwingladder.steering;

import org.jspecify.annotations.Nullable;

/**
 * The request rate that one incarnation of a backend server accepts from all hosts together, as a
 * host read it in an answer. Hosts forward it to each other.
 *
 * @param server the server's id
 * @param startedMillis the start time of the server's incarnation; see {@link ServerRegistration}
 * @param perSecond the limit in requests per second, null if the server has withdrawn it
 * @param version increases with each change of the limit
 * @param source the name of the host that read the answer
 */
public record ServerRateLimit(
        String server, long startedMillis, @Nullable Double perSecond, long version, String source)
        implements ServerCondition<ServerRateLimit> {
    public ServerRateLimit {
        if (perSecond != null && !(perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("server " + server + ": limit " + perSecond);
        }
    }

    /** Returns the limit in requests per second, infinity if there is none. */
    double effectivePerSecond() {
        return perSecond == null ? Double.POSITIVE_INFINITY : perSecond;
    }

    /** Of two limits that hosts read at the same time, the lower one is in force. */
    @Override
    public boolean supersedes(ServerRateLimit other) {
        return version != other.version
                ? version > other.version
                : effectivePerSecond() < other.effectivePerSecond();
    }

    @Override
    public int statementHash() {
        return Double.hashCode(effectivePerSecond());
    }

    /** Returns whether the limit concerns the incarnation that a registration describes. */
    boolean concerns(ServerRegistration registration) {
        return server.equals(registration.id()) && startedMillis == registration.startedMillis();
    }
}
