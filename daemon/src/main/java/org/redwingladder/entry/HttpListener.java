package org.redwingladder.entry;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.ClientLimits;
import org.redwingladder.supervisor.Component;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Accepts HTTP connections on one address, with the client limits of the settings in force. */
final class HttpListener implements Component {
    private static final int BACKLOG = 1024;

    /**
     * The accepted connections that wait for the I/O thread, which replaces others by them, when
     * accepting goes on; it pauses at twice as many.
     */
    private static final int WAITING_CONNECTIONS = 16;

    private static final int MAX_HEADERS = 200;

    /** The limits until settings are known. */
    private static final ClientLimits DEFAULT_LIMITS =
            new ClientLimits(16 * 1024, 64L << 20, 5_000, 60_000);

    /**
     * The idle timeout of this side as a multiple of the configured one: clients may reuse a
     * connection up to the configured timeout, so that this side must close it later.
     */
    private static final double IDLE_TIMEOUT_FACTOR = 1.5;

    private final String mName;
    private final InetSocketAddress mAddress;
    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers;
    private final HttpHandler mHandler;
    private final ClientConnections mConnections;
    private @Nullable HttpOpenListener mListener;
    private @Nullable AcceptingChannel<? extends StreamConnection> mServer;

    HttpListener(
            String name,
            InetSocketAddress address,
            XnioWorker worker,
            ByteBufferPool buffers,
            HttpHandler handler,
            ClientConnections connections) {
        mName = name;
        mAddress = address;
        mWorker = worker;
        mBuffers = buffers;
        mHandler = handler;
        mConnections = connections;
    }

    @Override
    public String name() {
        return mName + " listener";
    }

    @Override
    public void start(FailureListener failures) throws IOException {
        HttpOpenListener listener = new HttpOpenListener(mBuffers, options(DEFAULT_LIMITS));
        listener.setRootHandler(mConnections.tracking(mHandler));
        OptionMap socketOptions =
                OptionMap.builder()
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .set(
                                Options.CONNECTION_HIGH_WATER,
                                mConnections.maxConnections() + 2 * WAITING_CONNECTIONS)
                        .set(
                                Options.CONNECTION_LOW_WATER,
                                mConnections.maxConnections() + WAITING_CONNECTIONS)
                        .getMap();
        AcceptingChannel<? extends StreamConnection> server =
                mWorker.createStreamConnectionServer(
                        mAddress,
                        ChannelListeners.openListenerAdapter(mConnections.admitting(listener)),
                        socketOptions);
        mConnections.start();
        server.resumeAccepts();
        mListener = listener;
        mServer = server;
    }

    private static OptionMap options(ClientLimits limits) {
        return OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .set(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes())
                .set(
                        UndertowOptions.REQUEST_PARSE_TIMEOUT,
                        Math.toIntExact(limits.headerTimeoutMillis()))
                .set(
                        UndertowOptions.NO_REQUEST_TIMEOUT,
                        (int) Math.min(1 << 30, limits.idleTimeoutMillis() * IDLE_TIMEOUT_FACTOR))
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ENABLE_HTTP2, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .getMap();
    }

    /** Replaces the limits for connections that are accepted from now on. */
    void limits(ClientLimits limits) {
        if (mListener != null) {
            mListener.setUndertowOptions(options(limits));
        }
    }

    @Override
    public void stop() {
        mConnections.stop();
        if (mServer != null) {
            IoUtils.safeClose(mServer);
            mServer = null;
        }
    }
}
