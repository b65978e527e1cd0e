package org.redwingladder.http;

import static java.util.Objects.requireNonNull;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * A non-blocking HTTP/1.1 client with a connection pool for each address.
 *
 * <p>Each connection carries one call at a time and belongs to one I/O thread. A call that starts
 * on an I/O thread of the client's worker prefers a connection of the same thread, which avoids a
 * thread switch. A connection is reused only if its response was complete and nothing followed it,
 * neither bytes nor its end; else the call opens a new one.
 */
public final class AsyncHttpClient implements AutoCloseable {
    private static final OptionMap CONNECTION_OPTIONS =
            OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(UndertowOptions.ENABLE_HTTP2, false)
                    .getMap();

    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers;
    private final HttpClientLimits mLimits;
    private final boolean mOwnsWorker;
    private final Map<InetSocketAddress, ConnectionPool> mPools = new ConcurrentHashMap<>();
    private final Map<XnioIoThread, BoundedConnector> mConnectors = new ConcurrentHashMap<>();
    private final BufferBudget mBufferBudget;
    private volatile boolean mClosed;

    private AsyncHttpClient(
            XnioWorker worker,
            ByteBufferPool buffers,
            HttpClientLimits limits,
            boolean ownsWorker) {
        mWorker = worker;
        mBuffers = buffers;
        mLimits = limits;
        mBufferBudget = BufferBudget.ofBytes(limits.maxTotalBufferedBytes());
        mOwnsWorker = ownsWorker;
        mWorker.getIoThread(0)
                .executeAtInterval(
                        this::closeIdleConnections, limits.idleMillis(), TimeUnit.MILLISECONDS);
    }

    /** Creates a client that shares the I/O threads and buffers of a server. */
    public static AsyncHttpClient create(
            XnioWorker worker, ByteBufferPool buffers, HttpClientLimits limits) {
        return new AsyncHttpClient(
                requireNonNull(worker), requireNonNull(buffers), requireNonNull(limits), false);
    }

    /**
     * Creates a client with I/O threads of its own, which are shut down when it is closed.
     *
     * @throws IOException if the threads cannot be created
     */
    public static AsyncHttpClient create(int ioThreads, HttpClientLimits limits)
            throws IOException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, ioThreads)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap();
        XnioWorker worker = Xnio.getInstance().createWorker(options);
        ByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024, 256, 4);
        return new AsyncHttpClient(worker, buffers, limits, true);
    }

    /** Starts a call. The handler may be called before this method returns. */
    public Call send(CallRequest request, ResponseHandler handler) {
        XnioIoThread current = XnioIoThread.currentThread();
        XnioIoThread preferred =
                current != null && current.getWorker() == mWorker ? current : mWorker.getIoThread();
        ClientCall call = new ClientCall(this, request, handler);
        PooledConnection idle =
                mClosed ? null : pool(request.address()).acquire(preferred, request.maxIdleNanos());
        if (idle != null) {
            call.useConnection(idle);
        } else {
            connect(call, preferred);
        }
        return call;
    }

    /** Opens a connection for {@code call} on {@code thread}, or fails the call at the limit. */
    void connect(ClientCall call, XnioIoThread thread) {
        if (mClosed) {
            call.failWith(
                    new NotSentException(
                            NotSentException.Cause.CLOSED, "the HTTP client is closed"));
            return;
        }
        ConnectionPool pool = pool(call.request().address());
        if (pool.tryReserve()) {
            call.awaitConnection(thread);
            connect(pool, thread, call);
        } else {
            call.failWith(
                    new NotSentException(
                            NotSentException.Cause.POOL_FULL,
                            "connection limit reached: all connections to "
                                    + pool.address()
                                    + " are in use"));
        }
    }

    /**
     * Starts a call whose response must fit into the request's buffer limit; a larger one is
     * discarded. The future fails with a {@link CallException}.
     */
    public CompletableFuture<BufferedResponse> fetch(CallRequest request) {
        FutureHandler handler = new FutureHandler();
        send(request, handler);
        return handler.future();
    }

    /** Returns the number of open connections to an address, both active and idle. */
    public int openConnections(InetSocketAddress address) {
        ConnectionPool pool = mPools.get(address);
        return pool == null ? 0 : pool.open();
    }

    /** Closes the idle connections to an address, after one to it has gone silent. */
    public void closeIdleConnections(InetSocketAddress address) {
        ConnectionPool pool = mPools.get(address);
        if (pool != null) {
            pool.closeIdleSince(Long.MAX_VALUE);
        }
    }

    /** Returns the worker whose I/O threads the calls run on. */
    public XnioWorker worker() {
        return mWorker;
    }

    ByteBufferPool buffers() {
        return mBuffers;
    }

    BufferBudget bufferBudget() {
        return mBufferBudget;
    }

    private ConnectionPool pool(InetSocketAddress address) {
        ConnectionPool pool = mPools.get(address);
        return pool != null
                ? pool
                : mPools.computeIfAbsent(
                        address,
                        key -> new ConnectionPool(key, mLimits.maxConnectionsPerAddress()));
    }

    private void connect(ConnectionPool pool, XnioIoThread thread, ClientCall call) {
        BoundedConnector connector =
                mConnectors.computeIfAbsent(thread, key -> new BoundedConnector(thread));
        int generation = pool.generation();
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                PooledConnection pooled =
                                        new PooledConnection(
                                                connection,
                                                connector.openedConduit(),
                                                pool,
                                                generation);
                                connection.addCloseListener(c -> pooled.onClosed());
                                call.connected(pooled);
                            }

                            @Override
                            public void failed(IOException cause) {
                                pool.cancelReservation();
                                boolean notListening = cause instanceof ConnectException;
                                if (notListening) {
                                    pool.recordNotListening();
                                }
                                call.connectFailed(
                                        notListening
                                                ? NotSentException.Cause.NOT_LISTENING
                                                : NotSentException.Cause.REFUSED,
                                        cause);
                            }
                        },
                        URI.create("http://" + Addresses.format(pool.address())),
                        connector,
                        mBuffers,
                        CONNECTION_OPTIONS);
    }

    private void closeIdleConnections() {
        long idleSince = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(mLimits.idleMillis());
        mPools.values().forEach(pool -> pool.closeIdleSince(idleSince));
        mPools.values().removeIf(ConnectionPool::unused);
    }

    @Override
    public void close() {
        mClosed = true;
        mPools.values().forEach(pool -> pool.closeIdleSince(Long.MAX_VALUE));
        if (mOwnsWorker) {
            mWorker.shutdown();
        }
    }

    /** Completes a future with the result of a call. */
    private static final class FutureHandler
            implements ResponseHandler, StreamedResponse.TransferHandler {
        private final CompletableFuture<BufferedResponse> mFuture = new CompletableFuture<>();

        CompletableFuture<BufferedResponse> future() {
            return mFuture;
        }

        @Override
        public void buffered(BufferedResponse response) {
            mFuture.complete(response);
        }

        @Override
        public void streamed(StreamedResponse response) {
            response.discard(this);
        }

        @Override
        public void transferred(long bytes) {
            throw new IllegalStateException("a discarded response was transferred");
        }

        @Override
        public void failed(CallException cause) {
            mFuture.completeExceptionally(cause);
        }
    }
}
