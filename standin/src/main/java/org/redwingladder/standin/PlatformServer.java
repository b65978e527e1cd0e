package org.redwingladder.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioWorker;

/**
 * A platform stand-in that serves the table, the objects and the host list over HTTP and injects
 * faults on demand.
 *
 * <p>The state is kept in memory. It survives every fault, but not {@link #close}.
 */
public final class PlatformServer implements AutoCloseable {
    private final XnioWorker mWorker;
    private final List<HttpListener> mListeners = new ArrayList<>();
    private final PlatformTable mTable = new PlatformTable();
    private final ConcurrentMap<String, byte[]> mObjects = new ConcurrentHashMap<>();
    private final HostDirectory mHosts;
    private final TokenBucket mReadLimit;
    private final TokenBucket mWriteLimit;
    private final PlatformHandler mHandler = new PlatformHandler(this);
    private final List<HttpServerExchange> mSuspendedExchanges = new ArrayList<>();
    private final AtomicInteger mResponsesToDrop = new AtomicInteger();
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mWrites = new LongAdder();
    private final LongAdder mConflicts = new LongAdder();
    private final LongAdder mLostResponses = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private final LongAdder mThrottled = new LongAdder();
    private volatile PlatformFaults mFaults = PlatformFaults.NONE;
    private volatile @Nullable StaleView mStaleView;

    /** The data served while reads or the host list are stale. */
    private record StaleView(
            @Nullable PlatformTable table,
            ConcurrentMap<String, byte[]> objects,
            HostDirectory.@Nullable HostList hosts) {}

    private PlatformServer(PlatformOptions options) throws IOException {
        mHosts = new HostDirectory(options.hostsLagMillis());
        mReadLimit = new TokenBucket(options.readsPerSecond());
        mWriteLimit = new TokenBucket(options.writesPerSecond());
        mWorker = HttpListener.newWorker("platform", 2);
        for (int port : options.ports()) {
            mListeners.add(HttpListener.open(mWorker, options.ip(), port, this::handle));
        }
    }

    /** Starts a platform on an ephemeral port. */
    public static PlatformServer start() throws IOException {
        return start(PlatformOptions.DEFAULT);
    }

    /**
     * Starts a platform.
     *
     * @throws IOException if a port cannot be bound
     */
    public static PlatformServer start(PlatformOptions options) throws IOException {
        return new PlatformServer(options);
    }

    /** Returns the first listener's address as {@code ip:port}. */
    public String address() {
        return mListeners.get(0).addressText();
    }

    /** Returns the first listener's address. */
    public InetSocketAddress socketAddress() {
        return mListeners.get(0).address();
    }

    /** Returns the addresses of all listeners as {@code ip:port}. */
    public List<String> addresses() {
        return mListeners.stream().map(HttpListener::addressText).toList();
    }

    /** Returns the table, for access that bypasses all faults. */
    public PlatformTable table() {
        return mTable;
    }

    /** Returns the host list. */
    public HostDirectory hosts() {
        return mHosts;
    }

    /** Replaces the host list; the change becomes visible after the lag. */
    public void replaceHosts(List<HostDirectory.Host> hosts) {
        mHosts.replace(hosts, System.currentTimeMillis());
    }

    /** Returns the active faults. */
    public PlatformFaults faults() {
        return mFaults;
    }

    /**
     * Replaces the active faults; requests suspended by {@code frozen} resume when it is cleared.
     */
    public void inject(PlatformFaults faults) {
        PlatformFaults previous = mFaults;
        updateStaleView(previous, faults);
        mResponsesToDrop.set(faults.loseAnswersAfterWrite());
        mFaults = faults;
        if (!faults.frozen()) {
            resumeSuspended();
        }
    }

    /** Returns the counters. */
    public PlatformStats stats() {
        return new PlatformStats(
                mReads.sum(),
                mWrites.sum(),
                mConflicts.sum(),
                mLostResponses.sum(),
                mRefused.sum(),
                mThrottled.sum(),
                mTable.rows("", 0, Integer.MAX_VALUE).size());
    }

    /** Returns the number of requests suspended by the fault {@code frozen}. */
    int suspendedRequests() {
        synchronized (mSuspendedExchanges) {
            return mSuspendedExchanges.size();
        }
    }

    @Override
    public void close() {
        mListeners.forEach(HttpListener::close);
        mWorker.shutdownNow();
    }

    /** Returns the table that reads are served from. */
    PlatformTable visibleTable() {
        StaleView staleView = mStaleView;
        return staleView == null || staleView.table() == null ? mTable : staleView.table();
    }

    byte @Nullable [] visibleObject(String name) {
        StaleView staleView = mStaleView;
        boolean live = staleView == null || staleView.table() == null;
        return (live ? mObjects : staleView.objects()).get(name);
    }

    void putObject(String name, byte[] content) {
        mObjects.put(name, content);
    }

    HostDirectory.HostList visibleHosts() {
        StaleView staleView = mStaleView;
        return staleView == null || staleView.hosts() == null
                ? mHosts.visible(System.currentTimeMillis())
                : staleView.hosts();
    }

    void countConflict() {
        mConflicts.increment();
    }

    /** Counts a read; responds with 429 and returns false if it exceeds the rate limit. */
    boolean admitRead(HttpServerExchange exchange) {
        mReads.increment();
        return admit(exchange, mReadLimit);
    }

    /** Counts a write; responds with 429 and returns false if it exceeds the rate limit. */
    boolean admitWrite(HttpServerExchange exchange) {
        mWrites.increment();
        return admit(exchange, mWriteLimit);
    }

    /** Sends a response after the injected delay. */
    void respond(HttpServerExchange exchange, HttpHandler sender) {
        long delay = mFaults.delayMillis();
        if (delay > 0) {
            Exchanges.schedule(exchange, delay, sender);
        } else {
            Exchanges.handleOrClose(exchange, sender);
        }
    }

    /** Sends or drops the response to a write that has taken effect. */
    void respondToWrite(HttpServerExchange exchange, HttpHandler sender) {
        int left = mResponsesToDrop.getAndUpdate(n -> n > 0 ? n - 1 : n);
        if (left != 0) {
            mLostResponses.increment();
            respond(exchange, Exchanges::closeConnection);
        } else {
            respond(exchange, sender);
        }
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        if (exchange.getRequestPath().startsWith("/admin/")) {
            mHandler.admin(exchange);
            return;
        }
        PlatformFaults faults = mFaults;
        if (faults.down() || isRefused(faults, exchange)) {
            mRefused.increment();
            Exchanges.closeConnection(exchange);
        } else if (faults.frozen()) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> suspend(exchange));
        } else {
            mHandler.handleRequest(exchange);
        }
    }

    private void suspend(HttpServerExchange exchange) {
        synchronized (mSuspendedExchanges) {
            mSuspendedExchanges.add(exchange);
        }
        if (!mFaults.frozen()) {
            resumeSuspended();
        }
    }

    private void resumeSuspended() {
        List<HttpServerExchange> suspended;
        synchronized (mSuspendedExchanges) {
            suspended = List.copyOf(mSuspendedExchanges);
            mSuspendedExchanges.clear();
        }
        for (HttpServerExchange exchange : suspended) {
            exchange.getIoThread().execute(() -> Exchanges.handleOrClose(exchange, this::handle));
        }
    }

    private void updateStaleView(PlatformFaults previous, PlatformFaults current) {
        StaleView staleView = mStaleView;
        PlatformTable table = staleView == null ? null : staleView.table();
        HostDirectory.HostList hosts = staleView == null ? null : staleView.hosts();
        ConcurrentMap<String, byte[]> objects = staleView == null ? mObjects : staleView.objects();
        if (!current.staleReads()) {
            table = null;
        } else if (!previous.staleReads() || table == null) {
            table = mTable.snapshot();
            objects = new ConcurrentHashMap<>(mObjects);
        }
        if (!current.staleHosts()) {
            hosts = null;
        } else if (hosts == null) {
            hosts = mHosts.visible(System.currentTimeMillis());
        }
        mStaleView = new StaleView(table, objects, hosts);
    }

    private boolean admit(HttpServerExchange exchange, TokenBucket limit) {
        if (limit.tryAcquire(System.nanoTime())) {
            return true;
        }
        mThrottled.increment();
        Exchanges.sendError(exchange, 429, "throttled", "The platform's rate limit is exceeded.");
        return false;
    }

    private static boolean isRefused(PlatformFaults faults, HttpServerExchange exchange) {
        List<String> refused = faults.refuseFrom();
        if (refused == null || refused.isEmpty()) {
            return false;
        }
        InetSocketAddress peer = exchange.getSourceAddress();
        InetSocketAddress local = exchange.getDestinationAddress();
        return refused.contains(peer.getAddress().getHostAddress())
                || refused.contains(local.getAddress().getHostAddress() + ":" + local.getPort());
    }
}
