package org.redwingladder.request;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a client has gone while its request is worked on.
 *
 * <p>The server does not read from a connection between a request and its answer. Without this
 * watch the work of a client that has gone would stay in the queue and would run.
 */
final class ClientWatch {
    private final HttpServerExchange mExchange;
    private final Runnable mGone;
    private boolean mWatching;

    private ClientWatch(HttpServerExchange exchange, Runnable gone) {
        mExchange = exchange;
        mGone = gone;
    }

    /** Calls {@code gone} at most once; runs in the exchange's I/O thread. */
    static ClientWatch start(HttpServerExchange exchange, Runnable gone) {
        ClientWatch watch = new ClientWatch(exchange, gone);
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
        IoUtils.safeClose(mExchange.getConnection());
        mGone.run();
    }
}
