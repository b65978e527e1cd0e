package org.redwingladder.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;

/**
 * A pool of the connections to one address.
 *
 * <p>Idle connections are reused in FIFO order: a connection that has just delivered its response
 * is the last to be reused, so that unexpected bytes after the response are detected before.
 */
final class ConnectionPool {
    /** Far longer than a call takes, so that no call is about to use a pool that is removed. */
    private static final long POOL_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final InetSocketAddress mAddress;
    private final int mMaxOpen;
    private final Map<XnioIoThread, ArrayDeque<PooledConnection>> mIdle = new HashMap<>();
    private int mOpen;
    private int mGeneration;
    private long mLastReservedNanos = System.nanoTime();

    ConnectionPool(InetSocketAddress address, int maxOpen) {
        mAddress = address;
        mMaxOpen = maxOpen;
    }

    InetSocketAddress address() {
        return mAddress;
    }

    synchronized int open() {
        return mOpen;
    }

    /** Returns the generation of the connections that are opened now. */
    synchronized int generation() {
        return mGeneration;
    }

    /**
     * Records that nothing listens at the address. Connections from before belong to a process that
     * ends and are not reused, so that later responses come from the one that listens next.
     */
    synchronized void recordNotListening() {
        mGeneration++;
    }

    /**
     * Takes an idle connection, or returns null if there is none. A connection of another I/O
     * thread is taken only if the pool is at its limit. Connections that were idle for longer than
     * {@code maxIdleNanos}, or are of an earlier generation, are closed.
     */
    synchronized @Nullable PooledConnection acquire(XnioIoThread preferred, long maxIdleNanos) {
        PooledConnection own = poll(mIdle.get(preferred), maxIdleNanos);
        if (own != null || mOpen < mMaxOpen) {
            return own;
        }
        for (ArrayDeque<PooledConnection> others : mIdle.values()) {
            PooledConnection other = poll(others, maxIdleNanos);
            if (other != null) {
                return other;
            }
        }
        return null;
    }

    private @Nullable PooledConnection poll(
            @Nullable ArrayDeque<PooledConnection> idle, long maxIdleNanos) {
        if (idle == null) {
            return null;
        }
        long now = System.nanoTime();
        PooledConnection connection = idle.pollFirst();
        while (connection != null
                && (!connection.isOpen()
                        || connection.generation() != mGeneration
                        || connection.expired(now)
                        || connection.idleNanos(now) > maxIdleNanos)) {
            PooledConnection unusable = connection;
            unusable.thread().execute(unusable::close);
            connection = idle.pollFirst();
        }
        return connection;
    }

    /** Reserves a slot for a new connection; returns false if the pool is at its limit. */
    synchronized boolean tryReserve() {
        if (mOpen >= mMaxOpen) {
            return false;
        }
        mOpen++;
        mLastReservedNanos = System.nanoTime();
        return true;
    }

    /** Releases a slot, after a failed connect or when a connection was closed. */
    synchronized void cancelReservation() {
        mOpen--;
    }

    synchronized void release(PooledConnection connection) {
        mIdle.computeIfAbsent(connection.thread(), t -> new ArrayDeque<>()).addLast(connection);
    }

    /**
     * Closes the idle connections that were last used before {@code nanos}, an instant of {@link
     * System#nanoTime}; {@link Long#MAX_VALUE} closes all of them.
     */
    void closeIdleSince(long nanos) {
        List<PooledConnection> expired = new ArrayList<>();
        synchronized (this) {
            for (ArrayDeque<PooledConnection> idle : mIdle.values()) {
                for (Iterator<PooledConnection> i = idle.iterator(); i.hasNext(); ) {
                    PooledConnection connection = i.next();
                    if (nanos == Long.MAX_VALUE || connection.idleSince() - nanos < 0) {
                        i.remove();
                        expired.add(connection);
                    }
                }
            }
        }
        expired.forEach(connection -> connection.thread().execute(connection::close));
    }

    /** Returns whether the pool has no connections and has opened none for a long time. */
    synchronized boolean unused() {
        return mOpen == 0 && System.nanoTime() - mLastReservedNanos > POOL_RETENTION_NANOS;
    }
}
