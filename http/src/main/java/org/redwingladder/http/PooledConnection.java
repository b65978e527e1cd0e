package org.redwingladder.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** Wraps a connection with its place in the pool. */
final class PooledConnection {
    private final ClientConnection mConnection;
    private final ConnectionPool mPool;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile long mIdleSince;

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

    void release() {
        if (isOpen()) {
            mIdleSince = System.nanoTime();
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
