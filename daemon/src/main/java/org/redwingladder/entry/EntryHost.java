package org.redwingladder.entry;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferBudget;
import org.redwingladder.http.HttpClientLimits;
import org.redwingladder.limits.ConnectionLimits;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.LookupHostSelector;
import org.redwingladder.supervisor.Supervisor;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** An entry host: its listeners, state replication, gossip, request forwarding and shutdown. */
public final class EntryHost {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;

    /** The connections to one backend server; exceeds the slots and queue of any server. */
    private static final int MAX_CONNECTIONS_PER_SERVER = 64;

    private static final int IDLE_TIMEOUT_MILLIS = 5_000;

    /** For the tables of the store and the messages of other hosts. */
    private static final long MAX_TOTAL_BUFFERED_BYTES = 16 << 20;

    /** The part of the heap for bodies of requests and responses of clients. */
    private static final double CLIENT_BODIES_FRACTION = 0.25;

    private static final long PERIODIC_TASKS_MILLIS = 1_000;

    /** A new host refuses look-ups until the first gossip message, at most for this time. */
    private static final long LOOKUP_GRACE_NANOS = 2_500_000_000L;

    /** A new host refuses requests until another host has responded, at most for this time. */
    private static final long PEER_RESPONSE_GRACE_NANOS = 500_000_000L;

    /** Short, so that clients switch from a stopping host in time. */
    private static final long LOOKUP_LIFETIME_MILLIS = 1_000;

    /** The fraction of the time to stop in which new requests are still accepted. */
    private static final double ACCEPTING_FRACTION = 0.48;

    /** The fraction of the time to stop after which requests in flight are aborted. */
    private static final double ABORT_FRACTION = 0.9;

    private static final long STOP_CHECK_MILLIS = 50;

    /**
     * The fraction of the time to stop in which requests on the last accepted connections arrive
     * and are refused.
     */
    private static final double LAST_REQUESTS_FRACTION = 0.05;

    private EntryConfig mConfig;
    private final WireFormat mWire;
    private final EventLog mLog;
    private final EntryMetrics mMetrics = new EntryMetrics();
    private final GossipMembership mMembers;
    private final XnioWorker mWorker;
    private final XnioIoThread mThread;
    private final AsyncHttpClient mHttpClient;
    private final ByteBufferPool mBuffers;
    private final BufferBudget mClientBodies =
            BufferBudget.ofBytes(
                    (long) (CLIENT_BODIES_FRACTION * Runtime.getRuntime().maxMemory()));
    private final RequestRouter mRouter;
    private final StoreReplica mReplica;
    private final GossipService mGossip;
    private final FreshnessService mFreshness;
    private final ServerHealthChecks mHealthChecks;
    private final HostRegistration mRegistration;
    private final ProxyHandler mProxy;
    private final RequestRateMeter mRequestRates = new RequestRateMeter(System.nanoTime());
    private final ScheduledExecutorService mRestarts;
    private final Supervisor mSupervisor;
    private final long mStartedNanos = System.nanoTime();
    private long mStartedMillis = System.currentTimeMillis();
    private long mHeartbeats;
    private volatile boolean mClosed;
    private boolean mStopping;
    private long mStopNanos;
    private volatile List<HttpListener> mClientListeners = List.of();

    private EntryHost(EntryConfig config, WireFormat wire, RowDecoder decoder, EventLog log)
            throws IOException {
        mConfig = config;
        mWire = wire;
        mLog = log;
        mMembers = GossipMembership.create(config.host());
        ServerConditions conditions = new ServerConditions(config.host(), log);
        mRouter = new RequestRouter(config, mMembers, conditions, mMetrics, log);
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
        mHttpClient =
                AsyncHttpClient.create(
                        mWorker,
                        mBuffers,
                        new HttpClientLimits(
                                MAX_CONNECTIONS_PER_SERVER,
                                IDLE_TIMEOUT_MILLIS,
                                MAX_TOTAL_BUFFERED_BYTES));
        mReplica = new StoreReplica(decoder, mThread, log, mRouter);
        mGossip =
                new GossipService(
                        config,
                        mMembers,
                        mReplica,
                        conditions,
                        mHttpClient,
                        mThread,
                        log,
                        mMetrics);
        mFreshness =
                new FreshnessService(
                        config, mMembers, mReplica, mHttpClient, mThread, log, mMetrics);
        mHealthChecks =
                new ServerHealthChecks(
                        mRouter, wire, this::serversProvenNanos, mHttpClient, mThread, mMetrics);
        mRegistration = new HostRegistration(config.host(), mMembers, mThread, log);
        mProxy =
                new ProxyHandler(
                        mRouter, wire, mHttpClient, log, mMetrics, mRequestRates, mClientBodies);
        mProxy.startPhase(this::starting);
        mProxy.shutdownPhase(() -> mStopping, this::refusing);
        mRestarts = Executors.newSingleThreadScheduledExecutor();
        mSupervisor =
                Supervisor.create(
                        mRestarts,
                        () -> System.nanoTime() / 1_000_000,
                        part -> log.event("host", "part-given-up").with("part", part).write());
    }

    /**
     * Creates a host; {@link #start} starts it.
     *
     * @throws IOException if the I/O threads cannot be created
     */
    public static EntryHost create(
            EntryConfig config, WireFormat wire, RowDecoder decoder, EventLog log)
            throws IOException {
        return new EntryHost(config, wire, decoder, log);
    }

    /** Returns the HTTP client, which the store's client shares. */
    public AsyncHttpClient httpClient() {
        return mHttpClient;
    }

    /** Returns the I/O thread on which all work of the host runs. */
    public XnioIoThread thread() {
        return mThread;
    }

    /**
     * Starts the listeners, gossip and replication of the store.
     *
     * @throws Exception if an address cannot be bound
     */
    public void start(StoreClient store) throws Exception {
        ConnectionLimits limits = ConnectionLimits.ofDescriptors(mConfig.size().descriptors());
        HttpListener clients = listener("clients", mConfig.clients(), limits.clients(), mProxy);
        mRouter.onSettings(settings -> clients.limits(settings.limits()));
        mSupervisor.start(listener("peers", mConfig.peers(), limits.peers(), this::handlePeer));
        mSupervisor.start(clients);
        mSupervisor.start(
                listener("readiness", mConfig.readiness(), limits.readiness(), this::readiness));
        HttpListener lookups =
                listener("lookups", mConfig.lookups(), limits.lookups(), this::lookup);
        mSupervisor.start(lookups);
        mClientListeners = List.of(lookups, clients);
        mMetrics.gauge("requests.open", mProxy::inFlight);
        mMetrics.gauge("bodies.bytes", mClientBodies::reservedBytes);
        mMetrics.gauge("hosts.alive", () -> mMembers.alive(System.nanoTime()).size());
        mMetrics.gauge("settings.version", this::settingsVersion);
        mMetrics.gauge("servers.limited", mRouter::limitedServers);
        mMetrics.gauge("servers.cold", mRouter::coldServers);
        mMetrics.gauge("store.era", mReplica::era);
        mReplica.storeEra()
                .onRestore(
                        () ->
                                mRegistration.storeRestored(
                                        mMembers.alive(System.nanoTime()).size()));
        mThread.execute(
                () -> {
                    mReplica.start(store, mGossip::pushChanges);
                    mGossip.start(this::nextSelfEntry, this::raiseStartTime);
                    mFreshness.start(store);
                    mRouter.onConnectionsLost(mHealthChecks::check);
                    mHealthChecks.start();
                    mRegistration.start(store, this::nextSelfEntry);
                    mThread.executeAfter(
                            this::runPeriodicTasks, PERIODIC_TASKS_MILLIS, TimeUnit.MILLISECONDS);
                    new EventLoopMonitor(mThread, mLog, mMetrics).start();
                });
        mLog.event("host", "started")
                .with("zone", mConfig.zone())
                .with("clients", Addresses.format(mConfig.clients()))
                .write();
    }

    private void handlePeer(HttpServerExchange exchange) throws Exception {
        (exchange.getRequestPath().equals(FreshnessService.PATH) ? mFreshness : mGossip)
                .handleRequest(exchange);
    }

    private HttpListener listener(
            String name, InetSocketAddress address, int maxConnections, HttpHandler handler) {
        ClientConnections connections =
                new ClientConnections(name, maxConnections, mThread, mLog, mMetrics);
        mMetrics.gauge("connections." + name, connections::size);
        return new HttpListener(name, address, mWorker, mBuffers, handler, connections);
    }

    /**
     * Applies a reloaded configuration. Seeds and bounds take effect at once, other members at the
     * next start of the process.
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
                    mGossip.seeds(applied.seeds());
                });
    }

    /** Logs that a reloaded configuration is invalid; the one in force stays. */
    public void reloadFailed(String cause) {
        mLog.event("host", "reload-failed").with("cause", cause).write();
    }

    private boolean starting() {
        boolean informed =
                mGossip.anyResponseSeen()
                        || System.nanoTime() - mStartedNanos > PEER_RESPONSE_GRACE_NANOS;
        return !informed || !mReplica.ready();
    }

    private long serversProvenNanos() {
        return mReplica.freshness().provenNanos(StoreTable.SERVERS);
    }

    private long settingsVersion() {
        var settings = mReplica.settings();
        return settings == null ? 0 : settings.version();
    }

    private void runPeriodicTasks() {
        mRouter.rebalance();
        mFreshness.updateWatching();
        mThread.executeAfter(this::runPeriodicTasks, PERIODIC_TASKS_MILLIS, TimeUnit.MILLISECONDS);
    }

    private HostState nextSelfEntry() {
        long now = System.nanoTime();
        mHeartbeats++;
        return new HostState(
                mConfig.host(),
                mStartedMillis,
                mHeartbeats,
                mConfig.zone(),
                Addresses.format(mConfig.peers()),
                Addresses.format(mConfig.clients()),
                !starting() && !mStopping,
                mReplica.storeReachable(),
                mConfig.size().capacity(),
                mRequestRates.updateRates(now));
    }

    /** Raises this host's start time above one that peers know, so that they accept its entries. */
    private void raiseStartTime(long startedMillis) {
        if (startedMillis > mStartedMillis) {
            mLog.event("host", "start-time-raised").with("to", startedMillis + 1).write();
            mStartedMillis = startedMillis + 1;
        }
    }

    private void readiness(HttpServerExchange exchange) {
        if (!mWire.isReadinessPath(exchange.getRequestPath())) {
            Responses.text(exchange, 404, "unknown path\n");
        } else if (!starting() && !mStopping) {
            Responses.text(exchange, 200, "ready\n");
        } else {
            Responses.text(exchange, 503, mStopping ? "stopping\n" : "starting\n");
        }
    }

    private void lookup(HttpServerExchange exchange) {
        WireFormat.Lookup query = mWire.parseLookup(exchange);
        if (query == null) {
            Responses.text(exchange, 404, "unknown path or missing parameter\n");
            return;
        }
        long now = System.nanoTime();
        boolean peersKnown = mGossip.anyPeerSeen() || now - mStartedNanos > LOOKUP_GRACE_NANOS;
        List<String> addresses =
                LookupHostSelector.selectAddresses(
                        mMembers.alive(now), query.zone(), query.region(), mConfig.regionOfZone());
        if (!peersKnown || addresses.isEmpty()) {
            mMetrics.count("lookup.refused");
            Responses.text(exchange, 503, "no entry host is known yet\n");
            return;
        }
        mMetrics.count("lookup.answered");
        long lifetime = Math.min(LOOKUP_LIFETIME_MILLIS, mConfig.bounds().lookupLifetimeMillis());
        Responses.json(exchange, mWire.formatLookupAnswer(addresses, lifetime));
    }

    private boolean refusing() {
        return mStopping && stopFraction() > ACCEPTING_FRACTION;
    }

    /** Returns the elapsed fraction of the time to stop. */
    private double stopFraction() {
        return (System.nanoTime() - mStopNanos) / 1e6 / mConfig.bounds().stopMillis();
    }

    /** Starts a graceful shutdown; {@code ended} runs when the process may exit. */
    public void stop(Runnable ended) {
        mThread.execute(
                () -> {
                    if (mStopping) {
                        return;
                    }
                    mStopping = true;
                    mStopNanos = System.nanoTime();
                    mLog.event("host", "stopping").with("open", mProxy.inFlight()).write();
                    mGossip.announceSelf();
                    mRegistration.unregister();
                    awaitEnd(ended);
                });
    }

    private void awaitEnd(Runnable ended) {
        if (mClosed) {
            return;
        }
        boolean idle =
                refusing()
                        && mProxy.inFlight() == 0
                        && stopFraction() > 2 * ACCEPTING_FRACTION - 0.1;
        if (!idle && stopFraction() < ABORT_FRACTION) {
            mThread.executeAfter(() -> awaitEnd(ended), STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        mProxy.abortAll();
        mReplica.stop();
        mFreshness.stop();
        mHealthChecks.stop();
        mGossip.stop();
        // A client that cannot connect uses another host at once, while a connection that is open
        // when the process ends is reset.
        mClientListeners.forEach(HttpListener::stop);
        mLog.event("host", "stopped").write();
        long last = (long) (LAST_REQUESTS_FRACTION * mConfig.bounds().stopMillis());
        mThread.executeAfter(ended, last, TimeUnit.MILLISECONDS);
    }

    /** Stops all parts of the host and releases its threads and connections. */
    public void close() {
        mClosed = true;
        mSupervisor.close();
        mRestarts.shutdownNow();
        mHttpClient.close();
        mWorker.shutdown();
    }
}
