package org.redwingladder.request;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a client has gone while its request is worked on.
 *
 * <p>The server does not read from a connection between a request and its answer. Without this
 * watch the work of a client that has gone would stay in the queue and would run. The watch starts
 * before the work does: after the answer the connection's reads belong to the server again.
 */
public final class ClientDisconnectDetector {
    private final HttpServerExchange mExchange;
    private boolean mWatching;
    private boolean mIsGone;
    private @Nullable Runnable mOnGone;

    private ClientDisconnectDetector(HttpServerExchange exchange) {
        mExchange = exchange;
    }

    /** Starts to watch the client of a request that was read whole; runs in its I/O thread. */
    public static ClientDisconnectDetector start(HttpServerExchange exchange) {
        ClientDisconnectDetector watch = new ClientDisconnectDetector(exchange);
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null) {
            watch.mWatching = true;
            // The channel's own conduit ends with the request's body; the one below it goes on.
            StreamSourceConduit source = connection.getOriginalSourceConduit();
            source.setReadReadyHandler(watch.new Handler(connection, source));
            source.resumeReads();
            exchange.addExchangeCompleteListener(
                    (same, next) -> {
                        watch.stop(connection, source);
                        next.proceed();
                    });
        }
        return watch;
    }

    /** Sets what to do, at most once, when the client has gone. */
    public void onDisconnect(Runnable step) {
        synchronized (this) {
            if (!mIsGone) {
                mOnGone = step;
                return;
            }
        }
        step.run();
    }

    /** Gives the connection's reads back to the server. */
    private synchronized void stop(HttpServerConnection connection, StreamSourceConduit source) {
        mWatching = false;
        source.suspendReads();
        source.setReadReadyHandler(
                new ReadReadyHandler.ChannelListenerHandler<>(
                        connection.getChannel().getSourceChannel()));
    }

    private void readable(HttpServerConnection connection, StreamSourceConduit source) {
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

    /** Receives the readiness of the connection in its I/O thread. */
    private final class Handler implements ReadReadyHandler {
        private final HttpServerConnection mConnection;
        private final StreamSourceConduit mSource;

        Handler(HttpServerConnection connection, StreamSourceConduit source) {
            mConnection = connection;
            mSource = source;
        }

        @Override
        public void readReady() {
            readable(mConnection, mSource);
        }

        @Override
        public void forceTermination() {
            IoUtils.safeClose(mConnection);
        }

        @Override
        public void terminated() {}
    }
}
