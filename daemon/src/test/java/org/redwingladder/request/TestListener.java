package org.redwingladder.request;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** An HTTP listener with limits on request headers, connections and time-outs. */
public final class TestListener implements AutoCloseable {
    /** Enough for the headers of any valid request; Undertow's own limit is 1 MiB. */
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    private static final int MAX_HEADERS = 100;

    /** Closes connections of clients that do not complete the head of a request in time. */
    private static final int PARSE_TIMEOUT_MILLIS = 5_000;

    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int MAX_CONNECTIONS = 20_000;

    private final Undertow mServer;

    private TestListener(Undertow server) {
        mServer = server;
    }

    /**
     * Binds an address and accepts connections.
     *
     * @param address the address to bind; port 0 selects an ephemeral port
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
                        .setServerOption(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
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

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
    }

    /** Stops accepting connections and closes the idle ones. */
    @Override
    public void close() {
        mServer.stop();
    }
}
