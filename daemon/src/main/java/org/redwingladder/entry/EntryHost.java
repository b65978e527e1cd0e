package org.redwingladder.entry;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.CallerLimits;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.steering.HostEntry;
import org.redwingladder.steering.LookupChoice;
import org.redwingladder.steering.MemberTable;
import org.redwingladder.steering.ReaderChoice;
import org.redwingladder.supervisor.Supervisor;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Runs an entry host that steers by routes. */
public final class EntryHost {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;

    /** Connections to one backend server, far more than its slots and queue. */
    private static final int MAX_CONNECTIONS = 64;

    private static final int IDLE_MILLIS = 5_000;
    private static final long PLAN_MILLIS = 1_000;
    private static final long REGISTER_RETRY_MILLIS = 2_000;
    private static final long STORE_CALL_MILLIS = 2_000;

    /** A host that knows no other names nobody to clients until it had time to hear of them. */
    private static final long FIRST_LOOKUP_NANOS = 2_500_000_000L;

    /** Clients come back soon, so that a stopping host is left in time. */
    private static final long LOOKUP_LIFETIME_MILLIS = 1_000;

    /** The part of the time to stop in which new requests are still taken. */
    private static final double ACCEPTING_PART = 0.48;

    /** The part of the time to stop after which open requests are ended. */
    private static final double ENDING_PART = 0.9;

    private static final long STOP_CHECK_MILLIS = 50;

    private EntryConfig mConfig;
    private final WireFormat mWire;
    private final EventLog mLog;
    private final EntryMetrics mMetrics = new EntryMetrics();
    private final MemberTable mMembers;
    private final XnioWorker mWorker;
    private final XnioIoThread mThread;
    private final HttpCaller mCaller;
    private final ByteBufferPool mBuffers;
    private final RequestRouter mRouter;
    private final StoreReplica mState;
    private final GossipService mPeers;
    private final ProxyHandler mFlows;
    private final RequestRateMeter mDemand = new RequestRateMeter(System.nanoTime());
    private final ScheduledExecutorService mRestarts;
    private final Supervisor mSupervisor;
    private final long mStartedNanos = System.nanoTime();
    private long mStartedMillis = System.currentTimeMillis();
    private long mBeats;
    private volatile boolean mClosed;
    private boolean mStopping;
    private long mStopNanos;
    private @Nullable StoreClient mStore;

    private EntryHost(EntryConfig config, WireFormat wire, RowDecoder codec, EventLog log)
            throws IOException {
        mConfig = config;
        mWire = wire;
        mLog = log;
        mMembers = MemberTable.create(config.host());
        mRouter = new RequestRouter(config, mMembers, log);
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.TCP_NODELAY, true)
                                        .getMap());
        mThread = mWorker.getIoThread(0);
        mBuffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 4);
        mCaller =
                HttpCaller.create(
                        mWorker, mBuffers, new CallerLimits(MAX_CONNECTIONS, IDLE_MILLIS));
        mState = new StoreReplica(codec, mThread, log, mRouter);
        mPeers = new GossipService(config, mMembers, mState, mCaller, mThread, log, mMetrics);
        mFlows = new ProxyHandler(mRouter, wire, mCaller, log, mMetrics, mDemand);
        mFlows.stopSigns(() -> mStopping, this::refusing);
        mRestarts = Executors.newSingleThreadScheduledExecutor();
        mSupervisor =
                Supervisor.create(
                        mRestarts,
                        () -> System.nanoTime() / 1_000_000,
                        part -> log.event("host", "part-given-up").with("part", part).write());
    }

    /**
     * Creates a host that has not started.
     *
     * @throws IOException if the I/O threads cannot be created
     */
    public static EntryHost create(
            EntryConfig config, WireFormat wire, RowDecoder codec, EventLog log)
            throws IOException {
        return new EntryHost(config, wire, codec, log);
    }

    /** Returns the caller that the store's client shares. */
    public HttpCaller caller() {
        return mCaller;
    }

    /** Returns the thread on which everything of the host runs. */
    public XnioIoThread thread() {
        return mThread;
    }

    /**
     * Starts to listen and to follow the store.
     *
     * @throws Exception if an address cannot be bound
     */
    public void start(StoreClient store) throws Exception {
        mStore = store;
        HttpListener clients =
                new HttpListener("clients", mConfig.clients(), mWorker, mBuffers, mFlows);
        mRouter.onSettings(settings -> clients.limits(settings.limits()));
        mSupervisor.start(new HttpListener("peers", mConfig.peers(), mWorker, mBuffers, mPeers));
        mSupervisor.start(clients);
        mSupervisor.start(
                new HttpListener(
                        "readiness", mConfig.readiness(), mWorker, mBuffers, this::readiness));
        mSupervisor.start(
                new HttpListener("lookups", mConfig.lookups(), mWorker, mBuffers, this::lookup));
        mMetrics.gauge("requests.open", mFlows::open);
        mMetrics.gauge("hosts.alive", () -> mMembers.alive(System.nanoTime()).size());
        mMetrics.gauge("settings.version", this::settingsVersion);
        mThread.execute(
                () -> {
                    mState.start(store, mPeers::pass);
                    mPeers.start(this::self, this::laterStart);
                    register();
                    readHosts();
                    mThread.executeAfter(this::plan, PLAN_MILLIS, TimeUnit.MILLISECONDS);
                });
        mLog.event("host", "started")
                .with("zone", mConfig.zone())
                .with("clients", Addresses.format(mConfig.clients()))
                .write();
    }

    /**
     * Applies a configuration that was read again. Seeds and bounds take effect at once, the rest
     * at the next start of the process.
     */
    public void reload(EntryConfig config) {
        mThread.execute(
                () -> {
                    boolean restart = !config.withSeedsAndBoundsOf(mConfig).equals(mConfig);
                    mLog.event("host", "reload")
                            .with("changed", !config.equals(mConfig))
                            .with("restartNeeded", restart)
                            .write();
                    EntryConfig applied = mConfig.withSeedsAndBoundsOf(config);
                    mConfig = applied;
                    mRouter.bounds(applied.bounds());
                    mPeers.seeds(applied.seeds());
                });
    }

    /** Notes that a configuration that was read again cannot be used; the one in force stays. */
    public void reloadFailed(String cause) {
        mLog.event("host", "reload-failed").with("cause", cause).write();
    }

    private long settingsVersion() {
        var settings = mState.settings();
        return settings == null ? 0 : settings.version();
    }

    private void plan() {
        mRouter.plan();
        mState.follow(
                ReaderChoice.reads(
                        mConfig.host(), mMembers.alive(System.nanoTime()), mConfig.regionOfZone()));
        mThread.executeAfter(this::plan, PLAN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private HostEntry self() {
        long now = System.nanoTime();
        mBeats++;
        return new HostEntry(
                mConfig.host(),
                mStartedMillis,
                mBeats,
                mConfig.zone(),
                Addresses.format(mConfig.peers()),
                Addresses.format(mConfig.clients()),
                mState.ready() && !mStopping,
                mState.storeReachable(),
                mConfig.size().capacity(),
                mDemand.rates(now));
    }

    private void laterStart(long startedMillis) {
        if (startedMillis > mStartedMillis) {
            mLog.event("host", "start-time-raised").with("to", startedMillis + 1).write();
            mStartedMillis = startedMillis + 1;
        }
    }

    private static long storeDeadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STORE_CALL_MILLIS);
    }

    private void register() {
        StoreClient store = mStore;
        if (store == null || mStopping) {
            return;
        }
        store.writeHost(
                mConfig.host(),
                Json.write(self()),
                storeDeadline(),
                new StoreResult<>("register", version -> {}, this::register));
    }

    private void readHosts() {
        StoreClient store = mStore;
        if (store == null || mStopping) {
            return;
        }
        store.read(
                StoreTable.HOSTS,
                storeDeadline(),
                new StoreResult<>("read-hosts", page -> registered(page.rows()), this::readHosts));
    }

    private void registered(List<StoreRow> rows) {
        for (StoreRow row : rows) {
            byte[] value = row.value();
            if (value == null || row.key().equals(mConfig.host())) {
                continue;
            }
            try {
                mMembers.registered(Json.read(value, HostEntry.class));
            } catch (JsonException e) {
                mLog.event("state", "malformed-host")
                        .with("key", row.key())
                        .with("cause", e.getMessage())
                        .write();
            }
        }
    }

    private final class StoreResult<T> implements StoreClient.Receiver<T> {
        private final String mWhat;
        private final Consumer<T> mDone;
        private final Runnable mAgain;

        StoreResult(String what, Consumer<T> done, Runnable again) {
            mWhat = what;
            mDone = done;
            mAgain = again;
        }

        @Override
        public void done(T result) {
            mDone.accept(result);
        }

        @Override
        public void failed(StoreException cause) {
            mLog.event("store", mWhat + "-failed")
                    .with("reason", cause.reason())
                    .with("cause", cause.getMessage())
                    .write();
            mThread.executeAfter(mAgain, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void readiness(HttpServerExchange exchange) {
        if (!mWire.readiness(exchange.getRequestPath())) {
            Responses.text(exchange, 404, "unknown path\n");
        } else if (mState.ready() && !mStopping) {
            Responses.text(exchange, 200, "ready\n");
        } else {
            Responses.text(exchange, 503, mStopping ? "stopping\n" : "starting\n");
        }
    }

    private void lookup(HttpServerExchange exchange) {
        WireFormat.Lookup asked = mWire.lookup(exchange);
        if (asked == null) {
            Responses.text(exchange, 404, "unknown path or missing parameter\n");
            return;
        }
        long now = System.nanoTime();
        boolean heard = mPeers.heardAny() || now - mStartedNanos > FIRST_LOOKUP_NANOS;
        List<String> addresses =
                LookupChoice.addresses(
                        mMembers.alive(now), asked.zone(), asked.region(), mConfig.regionOfZone());
        if (!heard || addresses.isEmpty()) {
            mMetrics.count("lookup.refused");
            Responses.text(exchange, 503, "no host is known yet\n");
            return;
        }
        mMetrics.count("lookup.answered");
        long lifetime = Math.min(LOOKUP_LIFETIME_MILLIS, mConfig.bounds().lookupLifetimeMillis());
        Responses.json(exchange, mWire.lookupAnswer(addresses, lifetime));
    }

    private boolean refusing() {
        return mStopping && stopPart() > ACCEPTING_PART;
    }

    private double stopPart() {
        return (System.nanoTime() - mStopNanos) / 1e6 / mConfig.bounds().stopMillis();
    }

    /** Begins a planned stop; {@code ended} runs when the process may end. */
    public void stop(Runnable ended) {
        mThread.execute(
                () -> {
                    if (mStopping) {
                        return;
                    }
                    mStopping = true;
                    mStopNanos = System.nanoTime();
                    mLog.event("host", "stopping").with("open", mFlows.open()).write();
                    mPeers.announce();
                    unregister();
                    awaitEnd(ended);
                });
    }

    private void unregister() {
        StoreClient store = mStore;
        if (store != null) {
            store.writeHost(
                    mConfig.host(),
                    null,
                    storeDeadline(),
                    new StoreResult<>("unregister", version -> {}, () -> {}));
        }
    }

    private void awaitEnd(Runnable ended) {
        if (mClosed) {
            return;
        }
        boolean idle = refusing() && mFlows.open() == 0 && stopPart() > 2 * ACCEPTING_PART - 0.1;
        if (!idle && stopPart() < ENDING_PART) {
            mThread.executeAfter(() -> awaitEnd(ended), STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        mFlows.endAll();
        mState.stop();
        mPeers.stop();
        mLog.event("host", "stopped").write();
        mThread.executeAfter(ended, STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends all parts of the host. */
    public void close() {
        mClosed = true;
        mSupervisor.close();
        mRestarts.shutdownNow();
        mCaller.close();
        mWorker.shutdown();
    }
}
