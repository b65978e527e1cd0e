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
import org.redwingladder.control.HttpJson;
import org.redwingladder.supervisor.Component;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Listens on one address. Until it has a handler it refuses every request. */
final class Listener implements Component {
    private static final int BACKLOG = 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_HEADERS = 100;

    // Handlers have smaller limits of their own, with answers that say so.
    private static final long MAX_BODY_BYTES = 8L << 20;

    // A sender that takes longer for its headers holds a connection for nothing.
    private static final int PARSE_TIMEOUT_MILLIS = 10_000;
    private static final int IDLE_TIMEOUT_MILLIS = 120_000;

    private final String mName;
    private final InetSocketAddress mConfigured;
    private final int mMaxConnections;
    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers;
    private volatile @Nullable HttpHandler mHandler;
    private @Nullable Undertow mServer;
    private @Nullable InetSocketAddress mBound;

    Listener(
            String name,
            InetSocketAddress address,
            int maxConnections,
            XnioWorker worker,
            ByteBufferPool buffers) {
        mName = name;
        mConfigured = address;
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
        // A restart keeps the port that the kernel chose, because others know it.
        InetSocketAddress address = mBound == null ? mConfigured : mBound;
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
        mBound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void stop() {
        if (mServer != null) {
            mServer.stop();
            mServer = null;
        }
    }

    /** Returns the address that is bound. */
    InetSocketAddress address() {
        InetSocketAddress bound = mBound;
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
            HttpJson.refuse(exchange, 503, RefusalReason.NOT_READY, "the process is starting");
        } else {
            handler.handleRequest(exchange);
        }
    }
}
