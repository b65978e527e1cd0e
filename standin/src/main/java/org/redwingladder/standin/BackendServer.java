package org.redwingladder.standin;

import static java.util.Objects.requireNonNull;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.ErrorBody;
import org.redwingladder.api.Headers;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.xnio.XnioWorker;

/**
 * A backend server stand-in. It processes any request in a limited number of slots for a sampled
 * service time, injects faults on demand and keeps a journal of the executed requests.
 *
 * <p>A request is refused with {@code Redwing-Not-Run} only if it has not been started and never
 * will be.
 */
public final class BackendServer implements AutoCloseable {
    /** How long after the request's deadline a late response is sent. */
    static final long LATE_RESPONSE_DELAY_MILLIS = 300;

    private static final AttachmentKey<BackendRequest> CURRENT_REQUEST =
            AttachmentKey.create(BackendRequest.class);

    private final BackendConfig mConfig;
    private final XnioWorker mWorker;
    private final boolean mOwnsWorker;
    private final long mStartedAt = System.currentTimeMillis();
    private final RunJournal mJournal = new RunJournal();
    private final ServiceTimeSampler mServiceTimes;
    private final LoadHistory mLoad = new LoadHistory(mStartedAt);
    private final BackendHandler mHandler = new BackendHandler(this);
    private final SlotQueue mQueue;
    private final FaultCounters mFaultCounters = new FaultCounters();
    private final Object mListenerLock = new Object();
    private @Nullable HttpListener mListener;
    private final String mAddress;
    private volatile BackendFaults mFaults = BackendFaults.NONE;
    private volatile BackendResponse mLastResponse = BackendResponse.of("none", 16);

    private BackendServer(BackendConfig config, XnioWorker worker, boolean ownsWorker)
            throws IOException {
        mConfig = config;
        mWorker = worker;
        mOwnsWorker = ownsWorker;
        mServiceTimes = new ServiceTimeSampler(config, mStartedAt);
        mQueue = new SlotQueue(config.slots(), requireNonNull(config.backlog()), mLoad);
        HttpListener listener = listen(config.port());
        mListener = listener;
        mAddress = listener.addressText();
    }

    /**
     * Starts a backend server with its own threads.
     *
     * @throws IOException if the port cannot be bound
     */
    public static BackendServer start(BackendConfig config) throws IOException {
        XnioWorker worker = HttpListener.newWorker(config.name(), 1);
        try {
            return new BackendServer(config, worker, true);
        } catch (IOException e) {
            worker.shutdownNow();
            throw e;
        }
    }

    /** Starts a backend server that shares the threads of {@code worker}. */
    static BackendServer start(BackendConfig config, XnioWorker worker) throws IOException {
        return new BackendServer(config, worker, false);
    }

    /** Returns the backend server's name. */
    public String name() {
        return mConfig.name();
    }

    /** Returns the address as {@code ip:port}; it stays the same while the server is down. */
    public String address() {
        return mAddress;
    }

    /** Returns the journal of executed requests. */
    public RunJournal journal() {
        return mJournal;
    }

    /** Returns the active faults. */
    public BackendFaults faults() {
        return mFaults;
    }

    /**
     * Replaces the active faults. Must not be called on an I/O thread of the server.
     *
     * @throws IOException if the port cannot be bound again after {@code down}
     */
    public void inject(BackendFaults faults) throws IOException {
        mFaultCounters.reset(faults);
        mFaults = faults;
        synchronized (mListenerLock) {
            if (faults.down() && mListener != null) {
                mListener.close();
                mListener = null;
            } else if (!faults.down() && mListener == null) {
                mListener = listen(portOf(mAddress));
            }
        }
    }

    /** Returns the counters. */
    public BackendStats stats() {
        int connections;
        synchronized (mListenerLock) {
            connections = mListener == null ? 0 : mListener.connections();
        }
        return mQueue.stats(connections, mHandler.connectionsOpened());
    }

    @Override
    public void close() {
        synchronized (mListenerLock) {
            if (mListener != null) {
                mListener.close();
                mListener = null;
            }
        }
        if (mOwnsWorker) {
            mWorker.shutdownNow();
        }
    }

    /** Returns the state that the backend server reports. */
    String state() {
        if (mFaults.draining()) {
            return "draining";
        }
        boolean starting = System.currentTimeMillis() < mStartedAt + mConfig.startingMillis();
        return starting ? "starting" : "serving";
    }

    /** Returns the load report. */
    Map<String, Object> loadReport() {
        long reportedAt = System.currentTimeMillis() - mFaults.loadLagMillis();
        return Map.of(
                "inFlight", reportedInFlight(mLoad.at(reportedAt)),
                "slots", mConfig.slots(),
                "state", state(),
                "reportedAt", reportedAt);
    }

    boolean admitsConnection() {
        synchronized (mListenerLock) {
            return mListener != null && mListener.connections() <= mConfig.connections();
        }
    }

    /** Enqueues a request whose body has been read completely; called on its I/O thread. */
    void accept(HttpServerExchange exchange, boolean firstOnConnection) {
        BackendRequest request = new BackendRequest(this, exchange, firstOnConnection);
        // Other I/O threads may start the request as soon as it is queued, so the handler must have
        // returned by then.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> enqueue(request));
    }

    private void enqueue(BackendRequest request) {
        HttpServerExchange exchange = request.exchange();
        DisconnectDetector.start(exchange);
        exchange.getConnection().putAttachment(CURRENT_REQUEST, request);
        if (request.isFirstOnConnection()) {
            exchange.getConnection().addCloseListener(this::connectionClosed);
        }
        if (mFaultCounters.tryConsume(FaultCounters.Kind.SHED) || !mQueue.offer(request)) {
            mQueue.recordShed(request);
            refuse(
                    exchange,
                    RefusalReason.BACKEND_SHED,
                    "The queue of the backend server is full.");
        }
    }

    /** Returns the service time of a request that starts at {@code now}, in milliseconds. */
    double serviceMillis(BackendRequest request, long now) {
        BackendConfig.PathClass pathClass = mConfig.classOf(request.path());
        double millis =
                request.requestedMillis() >= 0
                        ? request.requestedMillis() * mServiceTimes.factor(mFaults, now)
                        : mServiceTimes.sample(pathClass, mFaults, now);
        return request.isFirstOnConnection() ? millis + mConfig.connectMillis() : millis;
    }

    int bodyBytes(BackendRequest request) {
        return request.requestedBytes() >= 0
                ? request.requestedBytes()
                : mConfig.classOf(request.path()).bodyBytes();
    }

    /** Sends the response to a completed request; called on its I/O thread. */
    void respond(BackendRequest request) throws IOException {
        HttpServerExchange exchange = request.exchange();
        BackendResponse response = BackendResponse.of(request.requestId(), bodyBytes(request));
        BackendResponse previous = mLastResponse;
        mLastResponse = response;
        BackendResponse sent =
                mFaultCounters.tryConsume(FaultCounters.Kind.CROSS) ? previous : response;
        ResponseSender.Mode mode = mFaultCounters.consumeMode();
        addHeaders(exchange);
        int lengthError = mFaults.wrongLengthBy();
        if (mFaultCounters.tryConsume(FaultCounters.Kind.LATE)) {
            long now = System.currentTimeMillis();
            long from =
                    request.deadline() == Long.MAX_VALUE ? now : Math.max(now, request.deadline());
            Exchanges.schedule(
                    exchange,
                    from + LATE_RESPONSE_DELAY_MILLIS - now,
                    e -> ResponseSender.send(e, sent, mode, lengthError));
        } else {
            ResponseSender.send(exchange, sent, mode, lengthError);
        }
    }

    /** Refuses a request that has not been started and never will be. */
    void refuse(HttpServerExchange exchange, RefusalReason reason, String message) {
        addHeaders(exchange);
        exchange.getResponseHeaders().put(HttpString.tryFromString(Headers.NOT_RUN), "true");
        String id = BackendRequest.header(exchange, Headers.REQUEST_ID);
        exchange.getResponseHeaders().put(HttpString.tryFromString(Headers.REQUEST_ID), id);
        Exchanges.sendJson(exchange, 503, ErrorBody.of(Refusal.notRun(reason, 0, message), id));
    }

    private void connectionClosed(ServerConnection connection) {
        BackendRequest request = connection.getAttachment(CURRENT_REQUEST);
        if (request != null) {
            mQueue.connectionClosed(request);
        }
    }

    SlotQueue queue() {
        return mQueue;
    }

    private void addHeaders(HttpServerExchange exchange) {
        var headers = exchange.getResponseHeaders();
        headers.put(HttpString.tryFromString(Headers.BACKEND), mConfig.name());
        headers.put(
                HttpString.tryFromString(Headers.LOAD),
                reportedInFlight(mQueue.inFlight()) + "/" + mConfig.slots());
        headers.put(HttpString.tryFromString(Headers.STATE), state());
    }

    private int reportedInFlight(int actual) {
        Integer injected = mFaults.wrongLoad();
        return injected == null ? actual : injected;
    }

    private HttpListener listen(int port) throws IOException {
        return HttpListener.open(mWorker, requireNonNull(mConfig.ip()), port, mHandler);
    }

    private static int portOf(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
