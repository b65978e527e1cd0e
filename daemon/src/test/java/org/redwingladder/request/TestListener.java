package org.redwingladder.request;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** Accepts HTTP connections on one address, with bounds on what a client may send. */
public final class TestListener implements AutoCloseable {
    /** Holds the headers of any sensible request; Undertow's own limit is a megabyte. */
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    private static final int MAX_HEADERS = 100;

    /** A client that needs longer for the head of a request holds a connection for nothing. */
    private static final int PARSE_MILLIS = 5_000;

    private static final int IDLE_MILLIS = 60_000;
    private static final int MAX_CONNECTIONS = 20_000;

    private final Undertow mServer;

    private TestListener(Undertow server) {
        mServer = server;
    }

    /**
     * Starts to accept connections.
     *
     * @param address where to listen; port 0 lets the system choose one
     * @throws IOException if the address cannot be bound
     */
    public static TestListener open(
            InetSocketAddress address,
            XnioWorker worker,
            ByteBufferPool buffers,
            HttpHandler handler)
            throws IOException {
        Undertow server =
                Undertow.builder()
                        .setWorker(worker)
                        .setByteBufferPool(buffers)
                        .addHttpListener(
                                address.getPort(), address.getAddress().getHostAddress(), handler)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                        .setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_HEADERS)
                        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MILLIS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setSocketOption(Options.REUSE_ADDRESSES, true)
                        .setSocketOption(Options.BACKLOG, 1024)
                        .setSocketOption(Options.CONNECTION_HIGH_WATER, MAX_CONNECTIONS)
                        .setSocketOption(Options.CONNECTION_LOW_WATER, MAX_CONNECTIONS - 1)
                        .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
        return new TestListener(server);
    }

    /** Returns the address that is listened on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    /** Stops accepting connections and closes the idle ones. */
    @Override
    public void close() {
        mServer.stop();
    }
}
