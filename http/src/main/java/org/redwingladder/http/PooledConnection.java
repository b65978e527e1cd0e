package org.redwingladder.http;

import io.undertow.client.ClientConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** Wraps a connection with its place in the pool. */
final class PooledConnection {
    private static final Pattern TIMEOUT = Pattern.compile("timeout=([0-9]{1,9})");

    /** The part of the stated idle time in which a connection is used again. */
    private static final double USABLE_PART = 0.6;

    private final ClientConnection mConnection;
    private final ConnectionPool mPool;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile long mIdleSince;
    private volatile boolean mUsed;
    private volatile boolean mExpires;
    private volatile long mExpiresNanos;

    PooledConnection(ClientConnection connection, ConnectionPool pool) {
        mConnection = connection;
        mPool = pool;
    }

    ClientConnection connection() {
        return mConnection;
    }

    XnioIoThread thread() {
        return mConnection.getIoThread();
    }

    boolean isOpen() {
        return !mClosed.get() && mConnection.isOpen();
    }

    long idleSince() {
        return mIdleSince;
    }

    /** Returns for how long the connection has been unused, 0 before its first call. */
    long idleNanos(long nowNanos) {
        return mUsed ? nowNanos - mIdleSince : 0;
    }

    /** Returns whether the other side is about to close the connection as unused. */
    boolean expired(long nowNanos) {
        return mExpires && nowNanos - mExpiresNanos >= 0;
    }

    /** Returns the connection to its pool after an answer with the given headers. */
    void release(HeaderMap headers) {
        Matcher timeout = TIMEOUT.matcher(String.valueOf(headers.getFirst(Headers.KEEP_ALIVE)));
        mExpires = timeout.find();
        if (mExpires) {
            long nanos = TimeUnit.SECONDS.toNanos(Long.parseLong(timeout.group(1)));
            mExpiresNanos = System.nanoTime() + (long) (USABLE_PART * nanos);
        }
        release();
    }

    /** Returns an unused connection to its pool. */
    void release() {
        if (isOpen()) {
            mIdleSince = System.nanoTime();
            mUsed = true;
            mPool.release(this);
        }
    }

    /**
     * Closes the connection at once, which tells the other side to stop its work. The client
     * connection's own close first drains what still arrives, for up to ten seconds.
     */
    void close() {
        if (mConnection.isOpen()) {
            try {
                IoUtils.safeClose(mConnection.performUpgrade());
            } catch (IOException e) {
                IoUtils.safeClose(mConnection);
            }
        }
        closed();
    }

    /** Gives up the place in the pool once, however the connection was closed. */
    void closed() {
        if (mClosed.compareAndSet(false, true)) {
            mPool.unreserve();
        }
    }
}
