package org.redwingladder.daemon;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.control.JsonHttpHandlers;
import org.redwingladder.supervisor.Component;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** An HTTP listener on one address. Refuses all requests until its handler is set. */
final class HttpListener implements Component {
    private static final int BACKLOG = 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_HEADERS = 100;

    // A last bound: the handlers have lower limits and respond with an error that names them.
    private static final long MAX_BODY_BYTES = 8L << 20;

    // Bounds how long a client that sends its headers slowly can occupy a connection.
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;
    private static final int IDLE_TIMEOUT_MILLIS = 120_000;

    private final String mName;
    private final InetSocketAddress mConfiguredAddress;
    private final int mMaxConnections;
    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers;
    private volatile @Nullable HttpHandler mHandler;
    private @Nullable Undertow mServer;
    private @Nullable InetSocketAddress mBoundAddress;

    HttpListener(
            String name,
            InetSocketAddress address,
            int maxConnections,
            XnioWorker worker,
            ByteBufferPool buffers) {
        mName = name;
        mConfiguredAddress = address;
        mMaxConnections = maxConnections;
        mWorker = worker;
        mBuffers = buffers;
    }

    @Override
    public String name() {
        return mName + " listener";
    }

    @Override
    public void start(Component.FailureListener failures) throws IOException {
        // A restart keeps an ephemeral port, because peers and clients already know it.
        InetSocketAddress address = mBoundAddress == null ? mConfiguredAddress : mBoundAddress;
        Undertow server =
                Undertow.builder()
                        .setWorker(mWorker)
                        .setByteBufferPool(mBuffers)
                        .setSocketOption(Options.REUSE_ADDRESSES, true)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.BACKLOG, BACKLOG)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, mMaxConnections)
                        .setSocketOption(Options.CONNECTION_LOW_WATER, mMaxConnections)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_HEADERS)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .addHttpListener(
                                address.getPort(),
                                address.getAddress().getHostAddress(),
                                this::handle)
                        .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new IOException("cannot listen on " + address + " for " + name(), e);
        }
        mServer = server;
        mBoundAddress = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void stop() {
        if (mServer != null) {
            mServer.stop();
            mServer = null;
        }
    }

    /**
     * Returns the bound address.
     *
     * @throws IllegalStateException if the listener has not started
     */
    InetSocketAddress address() {
        InetSocketAddress bound = mBoundAddress;
        if (bound == null) {
            throw new IllegalStateException(name() + " has not started");
        }
        return bound;
    }

    /** Sets the handler of all requests. */
    void handler(HttpHandler handler) {
        mHandler = handler;
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        HttpHandler handler = mHandler;
        if (handler == null) {
            JsonHttpHandlers.sendError(
                    exchange, 503, RefusalReason.NOT_READY, "the process is starting");
        } else {
            handler.handleRequest(exchange);
        }
    }
}
