package org.redwingladder.standin;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** An HTTP listener on one port that tracks its open connections. */
final class HttpListener implements AutoCloseable {
    /** The maximum size of a request body. */
    static final long MAX_BODY_BYTES = 16L << 20;

    private final Undertow mUndertow;
    private final InetSocketAddress mAddress;
    private final Set<ServerConnection> mConnections = ConcurrentHashMap.newKeySet();

    private HttpListener(XnioWorker worker, String ip, int port, HttpHandler handler) {
        mUndertow =
                Undertow.builder()
                        .setWorker(worker)
                        .setDirectBuffers(false)
                        .setSocketOption(Options.REUSE_ADDRESSES, true)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .addHttpListener(port, ip, exchange -> handle(exchange, handler))
                        .build();
        mUndertow.start();
        mAddress = (InetSocketAddress) mUndertow.getListenerInfo().get(0).getAddress();
    }

    /**
     * Opens a listener.
     *
     * @param port the port; 0 selects an ephemeral port
     * @throws IOException if the port cannot be bound
     */
    static HttpListener open(XnioWorker worker, String ip, int port, HttpHandler handler)
            throws IOException {
        try {
            return new HttpListener(worker, ip, port, handler);
        } catch (RuntimeException e) {
            throw new IOException("cannot listen on " + ip + ":" + port, e);
        }
    }

    /** Creates a worker with daemon threads. */
    static XnioWorker newWorker(String name, int ioThreads) throws IOException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, ioThreads)
                        .set(Options.WORKER_TASK_CORE_THREADS, 4)
                        .set(Options.WORKER_TASK_MAX_THREADS, 4)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap();
        return Xnio.getInstance().createWorker(options);
    }

    InetSocketAddress address() {
        return mAddress;
    }

    /** Returns the address as {@code ip:port}. */
    String addressText() {
        return mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
    }

    int connections() {
        return mConnections.size();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        mUndertow.stop();
        mConnections.forEach(IoUtils::safeClose);
    }

    private void handle(HttpServerExchange exchange, HttpHandler handler) throws Exception {
        ServerConnection connection = exchange.getConnection();
        if (mConnections.add(connection)) {
            connection.addCloseListener(mConnections::remove);
        }
        handler.handleRequest(exchange);
    }
}
