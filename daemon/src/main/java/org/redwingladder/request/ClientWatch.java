package org.redwingladder.request;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a client has gone while its request is worked on.
 *
 * <p>The server does not read from a connection between a request and its answer. Without this
 * watch the work of a client that has gone would stay in the queue and would run. The watch starts
 * before the work does: after the answer the connection's reads belong to the server again.
 */
final class ClientWatch {
    private final HttpServerExchange mExchange;
    private boolean mWatching;
    private boolean mIsGone;
    private @Nullable Runnable mOnGone;

    private ClientWatch(HttpServerExchange exchange) {
        mExchange = exchange;
    }

    /** Starts to watch the client of a request that was read whole; runs in its I/O thread. */
    static ClientWatch start(HttpServerExchange exchange) {
        ClientWatch watch = new ClientWatch(exchange);
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null) {
            watch.mWatching = true;
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setReadListener(channel -> watch.readable(connection, channel));
            source.resumeReads();
            exchange.addExchangeCompleteListener(
                    (same, next) -> {
                        watch.stop(source);
                        next.proceed();
                    });
        }
        return watch;
    }

    /** Sets what to do, at most once, when the client has gone. */
    void onGone(Runnable step) {
        synchronized (this) {
            if (!mIsGone) {
                mOnGone = step;
                return;
            }
        }
        step.run();
    }

    private synchronized void stop(ConduitStreamSourceChannel source) {
        if (mWatching) {
            mWatching = false;
            source.suspendReads();
        }
    }

    private void readable(HttpServerConnection connection, ConduitStreamSourceChannel source) {
        synchronized (this) {
            if (!mWatching) {
                return;
            }
            PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
            boolean keep = false;
            try {
                int count = source.read(pooled.getBuffer());
                if (count == 0) {
                    return;
                }
                mWatching = false;
                source.suspendReads();
                if (count > 0) {
                    // The start of the next request; the server reads it after this answer.
                    pooled.getBuffer().flip();
                    connection.ungetRequestBytes(pooled);
                    keep = true;
                    return;
                }
            } catch (IOException e) {
                mWatching = false;
            } finally {
                if (!keep) {
                    pooled.close();
                }
            }
        }
        gone();
    }

    private void gone() {
        IoUtils.safeClose(mExchange.getConnection());
        Runnable step;
        synchronized (this) {
            mIsGone = true;
            step = mOnGone;
        }
        if (step != null) {
            step.run();
        }
    }
}
