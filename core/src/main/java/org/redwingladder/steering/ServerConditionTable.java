package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The conditions of one kind that this host knows of backend servers.
 *
 * <p>A condition that has ended stays in the table until its server deregisters, so that another
 * host's older entry does not restore it. Not thread-safe.
 *
 * @param <T> the kind of condition
 */
public abstract sealed class ServerConditionTable<T extends ServerCondition<T>>
        permits ServerLeavingTable, ServerRateLimitTable, ServerWarmUpTable {
    /**
     * Time for which the condition of a server without a registration is kept, since the news of a
     * registration and of the server's condition arrive in any order.
     */
    private static final long UNREGISTERED_RETENTION_NANOS = 30_000_000_000L;

    private final String mSelf;
    private final Map<Incarnation, Entry<T>> mEntries = new HashMap<>();
    private final Set<Incarnation> mRegistered = new HashSet<>();

    private record Incarnation(String server, long startedMillis) {
        static Incarnation of(ServerCondition<?> condition) {
            return new Incarnation(condition.server(), condition.startedMillis());
        }

        static Incarnation of(ServerRegistration server) {
            return new Incarnation(server.id(), server.startedMillis());
        }
    }

    /** A condition and the instant at which this host learned it. */
    static final class Entry<T> {
        private T mCondition;
        private long mLearnedNanos;
        private long mExpiresNanos;

        private Entry(T condition, long nowNanos) {
            mCondition = condition;
            mLearnedNanos = nowNanos;
            mExpiresNanos = nowNanos + UNREGISTERED_RETENTION_NANOS;
        }

        T condition() {
            return mCondition;
        }

        /**
         * Returns whether an answer to a request that was sent at an instant tells something later
         * than this entry. Answers carry no order of their own and overtake each other.
         */
        boolean precedes(long sentNanos) {
            return sentNanos - mLearnedNanos > 0;
        }
    }

    ServerConditionTable(String self) {
        mSelf = self;
    }

    /** Returns the name of this host. */
    final String self() {
        return mSelf;
    }

    /** Returns the entry of a server's incarnation, null if there is none. */
    final @Nullable Entry<T> find(ServerRegistration server) {
        return mEntries.get(Incarnation.of(server));
    }

    /** Adds a condition or replaces the known one. */
    final void put(T condition, long nowNanos) {
        Entry<T> known = mEntries.get(Incarnation.of(condition));
        if (known == null) {
            mEntries.put(Incarnation.of(condition), new Entry<>(condition, nowNanos));
        } else {
            known.mCondition = condition;
            known.mLearnedNanos = nowNanos;
        }
    }

    /** Merges conditions that another host forwarded and returns those that replaced older ones. */
    public final List<T> merge(Collection<T> conditions, long nowNanos) {
        List<T> replaced = new ArrayList<>();
        for (T condition : conditions) {
            Entry<T> known = mEntries.get(Incarnation.of(condition));
            if (known == null || condition.supersedes(known.mCondition)) {
                put(condition, nowNanos);
                replaced.add(condition);
            }
        }
        return replaced;
    }

    /** Replaces the registered servers; conditions of other servers are no longer forwarded. */
    public final void updateServers(Collection<ServerRegistration> servers, long nowNanos) {
        mRegistered.clear();
        for (ServerRegistration server : servers) {
            mRegistered.add(Incarnation.of(server));
        }
        mEntries.forEach(
                (incarnation, entry) -> {
                    if (mRegistered.contains(incarnation)) {
                        entry.mExpiresNanos = nowNanos + UNREGISTERED_RETENTION_NANOS;
                    }
                });
        removeExpired(nowNanos);
    }

    /** Removes the conditions of servers that have had no registration for a while. */
    public final void removeExpired(long nowNanos) {
        mEntries.entrySet()
                .removeIf(
                        entry ->
                                !mRegistered.contains(entry.getKey())
                                        && nowNanos - entry.getValue().mExpiresNanos >= 0);
    }

    /** Returns the conditions of the registered servers, including ended ones, for other hosts. */
    public final List<T> registered() {
        List<T> conditions = new ArrayList<>();
        mEntries.forEach(
                (incarnation, entry) -> {
                    if (mRegistered.contains(incarnation)) {
                        conditions.add(entry.mCondition);
                    }
                });
        return conditions;
    }

    /** Returns a hash of {@link #registered}, which hosts compare before they send them. */
    public final long digest() {
        long digest = 0;
        for (T condition : registered()) {
            long hash = condition.server().hashCode();
            hash = hash * 0x9e3779b97f4a7c15L + condition.startedMillis();
            hash = hash * 0x9e3779b97f4a7c15L + condition.version();
            hash = hash * 0x9e3779b97f4a7c15L + condition.statementHash();
            digest += hash ^ (hash >>> 29);
        }
        return digest;
    }
}
