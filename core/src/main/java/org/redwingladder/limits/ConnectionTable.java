package org.redwingladder.limits;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The open connections of clients, at most as many as a limit.
 *
 * <p>At the limit a new connection replaces one that is worth least: the oldest without a request,
 * else the one whose body has been arriving for longest, else the one that has been idle for
 * longest. A connection whose request is being served is never replaced. Not thread-safe.
 *
 * @param <T> the type of a connection, compared by identity or another stable equality
 */
public final class ConnectionTable<T> {
    /** A body that arrives within this time does not yield its connection to a new one. */
    static final long MIN_RECEIVING_NANOS = 2_000_000_000L;

    private final int mMaxConnections;
    private final Map<T, ConnectionPhase> mPhases = new HashMap<>();
    private final Set<T> mUnused = new LinkedHashSet<>();
    private final Set<T> mReceiving = new LinkedHashSet<>();
    private final Set<T> mWorking = new LinkedHashSet<>();
    private final Set<T> mSending = new LinkedHashSet<>();
    private final Set<T> mIdle = new LinkedHashSet<>();

    private ConnectionTable(int maxConnections) {
        mMaxConnections = maxConnections;
    }

    /**
     * Creates an empty table.
     *
     * @throws IllegalArgumentException if the limit is not positive
     */
    public static <T> ConnectionTable<T> ofLimit(int maxConnections) {
        if (maxConnections < 1) {
            throw new IllegalArgumentException("limit must be positive: " + maxConnections);
        }
        return new ConnectionTable<>(maxConnections);
    }

    /**
     * Adds a new connection. Returns the connection that has to be closed for it, which is the new
     * one itself if none can be replaced, or null if there is room.
     */
    public @Nullable T add(T connection, long nowNanos) {
        T replaced = null;
        if (mPhases.size() >= mMaxConnections) {
            replaced = leastWorth(nowNanos);
            if (replaced == null) {
                return connection;
            }
            remove(replaced);
        }
        changePhase(connection, new ConnectionPhase.Unused());
        return replaced;
    }

    private @Nullable T leastWorth(long nowNanos) {
        if (!mUnused.isEmpty()) {
            return mUnused.iterator().next();
        }
        if (!mReceiving.isEmpty()) {
            T slowest = mReceiving.iterator().next();
            if (mPhases.get(slowest) instanceof ConnectionPhase.Receiving receiving
                    && nowNanos - receiving.startNanos() >= MIN_RECEIVING_NANOS) {
                return slowest;
            }
        }
        return mIdle.isEmpty() ? null : mIdle.iterator().next();
    }

    /** Records that a connection has entered a phase; ignored if it is not in the table. */
    public void enter(T connection, ConnectionPhase phase) {
        if (mPhases.containsKey(connection)) {
            changePhase(connection, phase);
        }
    }

    private void changePhase(T connection, ConnectionPhase phase) {
        ConnectionPhase before = mPhases.put(connection, requireNonNull(phase));
        if (before != null) {
            connectionsIn(before).remove(connection);
        }
        connectionsIn(phase).add(connection);
    }

    private Set<T> connectionsIn(ConnectionPhase phase) {
        return switch (phase) {
            case ConnectionPhase.Unused unused -> mUnused;
            case ConnectionPhase.Receiving receiving -> mReceiving;
            case ConnectionPhase.Working working -> mWorking;
            case ConnectionPhase.Sending sending -> mSending;
            case ConnectionPhase.Idle idle -> mIdle;
        };
    }

    /** Removes a connection that was closed. */
    public void remove(T connection) {
        ConnectionPhase phase = mPhases.remove(connection);
        if (phase != null) {
            connectionsIn(phase).remove(connection);
        }
    }

    /** Returns the connections on which a body is received or a response is sent. */
    public List<T> transferring() {
        List<T> transferring = new ArrayList<>(mReceiving);
        transferring.addAll(mSending);
        return transferring;
    }

    /** Returns whether a body is received on a connection. */
    public boolean isReceiving(T connection) {
        return mReceiving.contains(connection);
    }

    /** Returns the number of connections. */
    public int size() {
        return mPhases.size();
    }
}
