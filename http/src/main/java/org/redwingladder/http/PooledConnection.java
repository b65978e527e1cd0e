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

/** A connection of a {@link ConnectionPool}. */
final class PooledConnection {
    private static final Pattern TIMEOUT = Pattern.compile("timeout=([0-9]{1,9})");

    /**
     * The fraction of the server's Keep-Alive timeout during which a connection is reused, so that
     * no request meets a connection that the server is closing.
     */
    private static final double KEEP_ALIVE_REUSE_FRACTION = 0.6;

    private final ClientConnection mConnection;
    private final ResponseSourceConduit mSource;
    private final ConnectionPool mPool;
    private final int mGeneration;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile long mIdleSince;
    private volatile boolean mUsed;
    private volatile boolean mExpires;
    private volatile long mExpiresNanos;
    private boolean mCloseAfterResponse;

    /**
     * Creates a connection.
     *
     * @param generation the generation of the pool when the connection began to open
     */
    PooledConnection(
            ClientConnection connection,
            ResponseSourceConduit source,
            ConnectionPool pool,
            int generation) {
        mConnection = connection;
        mSource = source;
        mPool = pool;
        mGeneration = generation;
    }

    int generation() {
        return mGeneration;
    }

    ClientConnection connection() {
        return mConnection;
    }

    /** Returns the check of the bytes that the server sends. */
    ResponseSourceConduit source() {
        return mSource;
    }

    XnioIoThread thread() {
        return mConnection.getIoThread();
    }

    boolean isOpen() {
        return !mClosed.get() && mConnection.isOpen();
    }

    /**
     * Returns whether the server has ended the connection since it was last released, also if the
     * end has arrived and was not handled yet. Must be called on its I/O thread.
     */
    boolean endedWhileIdle() {
        return mUsed && (!isOpen() || mSource.endedBetweenResponses());
    }

    long idleSince() {
        return mIdleSince;
    }

    /** Returns how long the connection has been idle, in nanoseconds; 0 before its first call. */
    long idleNanos(long nowNanos) {
        return mUsed ? nowNanos - mIdleSince : 0;
    }

    /** Returns whether the server's Keep-Alive timeout is about to close the connection. */
    boolean expired(long nowNanos) {
        return mExpires && nowNanos - mExpiresNanos >= 0;
    }

    /** Returns the connection to its pool after a response with the given headers. */
    void release(HeaderMap headers) {
        Matcher timeout = TIMEOUT.matcher(String.valueOf(headers.getFirst(Headers.KEEP_ALIVE)));
        mExpires = timeout.find();
        if (mExpires) {
            long nanos = TimeUnit.SECONDS.toNanos(Long.parseLong(timeout.group(1)));
            mExpiresNanos = System.nanoTime() + (long) (KEEP_ALIVE_REUSE_FRACTION * nanos);
        }
        release();
    }

    /** Closes the connection instead of returning it to its pool. */
    void closeAfterResponse() {
        mCloseAfterResponse = true;
    }

    /** Returns the connection to its pool. */
    void release() {
        if (mCloseAfterResponse) {
            close();
        } else if (isOpen()) {
            mIdleSince = System.nanoTime();
            mUsed = true;
            mPool.release(this);
        }
    }

    /**
     * Closes the socket immediately, which signals the server to cancel the request. Undertow's
     * {@code ClientConnection.close} would first drain the response, for up to ten seconds.
     */
    void close() {
        if (mConnection.isOpen()) {
            try {
                IoUtils.safeClose(mConnection.performUpgrade());
            } catch (IOException e) {
                IoUtils.safeClose(mConnection);
            }
        }
        onClosed();
    }

    /** Releases the reservation in the pool once, whichever side closed the connection. */
    void onClosed() {
        if (mClosed.compareAndSet(false, true)) {
            mPool.cancelReservation();
        }
    }
}
