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
 * Detects that a client has closed its connection while its request is in progress.
 *
 * <p>The HTTP server does not read from a connection between a request and its response. Without
 * the detector, requests of disconnected clients would stay in the queue and would still be run.
 * The detector has to be started before the work: once the response has been sent, the server reads
 * from the connection again.
 */
public final class ClientDisconnectDetector {
    private final HttpServerExchange mExchange;
    private boolean mReading;
    private boolean mDisconnected;
    private @Nullable Runnable mOnDisconnect;

    private ClientDisconnectDetector(HttpServerExchange exchange) {
        mExchange = exchange;
    }

    /**
     * Starts to read from the client's connection. The request must have been read completely; must
     * be called in the connection's I/O thread.
     */
    public static ClientDisconnectDetector start(HttpServerExchange exchange) {
        ClientDisconnectDetector detector = new ClientDisconnectDetector(exchange);
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null) {
            detector.mReading = true;
            // The exchange's conduit ends with the request body; the original one reads on.
            StreamSourceConduit source = connection.getOriginalSourceConduit();
            source.setReadReadyHandler(detector.new Handler(connection, source));
            source.resumeReads();
            exchange.addExchangeCompleteListener(
                    (same, next) -> {
                        detector.stop(connection, source);
                        next.proceed();
                    });
        }
        return detector;
    }

    /**
     * Sets the callback for the disconnect. It runs at most once, and at once if the client has
     * already disconnected.
     */
    public void onDisconnect(Runnable callback) {
        synchronized (this) {
            if (!mDisconnected) {
                mOnDisconnect = callback;
                return;
            }
        }
        callback.run();
    }

    /** Stops reading and restores the server's own read handler. */
    private synchronized void stop(HttpServerConnection connection, StreamSourceConduit source) {
        mReading = false;
        source.suspendReads();
        source.setReadReadyHandler(
                new ReadReadyHandler.ChannelListenerHandler<>(
                        connection.getChannel().getSourceChannel()));
    }

    private void readable(HttpServerConnection connection, StreamSourceConduit source) {
        synchronized (this) {
            if (!mReading) {
                return;
            }
            PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
            boolean bufferRetained = false;
            try {
                int count = source.read(pooled.getBuffer());
                if (count == 0) {
                    return;
                }
                mReading = false;
                source.suspendReads();
                if (count > 0) {
                    // A pipelined request; the server parses it after this response.
                    pooled.getBuffer().flip();
                    connection.ungetRequestBytes(pooled);
                    bufferRetained = true;
                    return;
                }
            } catch (IOException e) {
                mReading = false;
            } finally {
                if (!bufferRetained) {
                    pooled.close();
                }
            }
        }
        disconnected();
    }

    private void disconnected() {
        IoUtils.safeClose(mExchange.getConnection());
        Runnable callback;
        synchronized (this) {
            mDisconnected = true;
            callback = mOnDisconnect;
        }
        if (callback != null) {
            callback.run();
        }
    }

    /** Handles read readiness of the connection in its I/O thread. */
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
