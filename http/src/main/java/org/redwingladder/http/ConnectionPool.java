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
 * Holds the connections to one address.
 *
 * <p>Unused connections are taken oldest first: a connection that has just delivered its answer is
 * the last to be used again, so that bytes that follow the answer are seen before.
 */
final class ConnectionPool {
    /** Far longer than a call takes, so that no call is about to use a pool that is dropped. */
    private static final long FORGET_AFTER_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final InetSocketAddress mAddress;
    private final int mMaxOpen;
    private final Map<XnioIoThread, ArrayDeque<PooledConnection>> mIdle = new HashMap<>();
    private int mOpen;
    private long mLastUsed = System.nanoTime();

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

    /**
     * Takes an unused connection; one of another thread only if no more may be opened. Those that
     * were unused for longer than {@code maxIdleNanos} are closed.
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

    private static @Nullable PooledConnection poll(
            @Nullable ArrayDeque<PooledConnection> idle, long maxIdleNanos) {
        if (idle == null) {
            return null;
        }
        long now = System.nanoTime();
        PooledConnection connection = idle.pollFirst();
        while (connection != null
                && (!connection.isOpen()
                        || connection.expired(now)
                        || connection.idleNanos(now) > maxIdleNanos)) {
            PooledConnection unusable = connection;
            unusable.thread().execute(unusable::close);
            connection = idle.pollFirst();
        }
        return connection;
    }

    /** Reserves the right to open a connection; {@link #unreserve} returns it. */
    synchronized boolean reserve() {
        if (mOpen >= mMaxOpen) {
            return false;
        }
        mOpen++;
        mLastUsed = System.nanoTime();
        return true;
    }

    synchronized void unreserve() {
        mOpen--;
    }

    synchronized void release(PooledConnection connection) {
        mIdle.computeIfAbsent(connection.thread(), t -> new ArrayDeque<>()).addLast(connection);
    }

    /** Closes the connections that were not used after {@code nanos}. */
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

    /** Returns whether there are no connections and there were none for a long time. */
    synchronized boolean unused() {
        return mOpen == 0 && System.nanoTime() - mLastUsed > FORGET_AFTER_NANOS;
    }
}
