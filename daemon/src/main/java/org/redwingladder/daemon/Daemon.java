package org.redwingladder.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.redwingladder.control.ClusterState;
import org.redwingladder.control.ControlEventLoop;
import org.redwingladder.control.HostListPoller;
import org.redwingladder.control.JsonHttpHandlers;
import org.redwingladder.control.LoadReportPoller;
import org.redwingladder.control.MembershipDriver;
import org.redwingladder.control.OperatorRoutes;
import org.redwingladder.control.PeerRoutes;
import org.redwingladder.control.SettingsListener;
import org.redwingladder.control.SettingsReplicator;
import org.redwingladder.control.SettingsRoutes;
import org.redwingladder.control.ZoneGossip;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.HttpClientLimits;
import org.redwingladder.membership.HeartbeatSchedule;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MembershipStateMachine;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.request.RequestPipeline;
import org.redwingladder.request.RoutingTrace;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.ZoneAcks;
import org.redwingladder.supervisor.Component;
import org.redwingladder.supervisor.Supervisor;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** An entry host: creates its components, wires them together and supervises them. */
public final class Daemon implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String EXPLAIN_PATH = "/v1/explain";
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int POOLED_BUFFERS = 256;
    private static final int BUFFERS_PER_THREAD = 4;
    private static final int CALLER_IDLE_MILLIS = 30_000;
    private static final long DEFAULT_LOOKUP_LIFETIME_MILLIS = 5000;

    private final DaemonConfig mConfig;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final ControlEventLoop mLoop = ControlEventLoop.create();
    private final Supervisor mSupervisor;
    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers;
    private final HttpListener mClientListener;
    private final HttpListener mPeerListener;
    private final HttpListener mOperatorListener;
    private final AsyncHttpClient mCaller;
    private final PlatformClient mPlatform;
    private final ClusterState mState;
    private final MembershipDriver mRoster;
    private final ZoneGossip mZones;
    private final SettingsReplicator mSettings;
    private final RequestPipeline mPipeline;
    private final GracefulShutdown mShutdown;

    private Daemon(DaemonConfig config, HeartbeatSchedule schedule) throws Exception {
        mConfig = config;
        mSupervisor =
                Supervisor.create(mLoop.executor(), mLoop::nowMillis, this::onPermanentFailure);
        mWorker = newWorker(config.limits().ioThreads());
        mBuffers =
                new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, BUFFERS_PER_THREAD);
        int connections = config.limits().connections();
        mClientListener = listener("client", config.listen().client(), connections);
        mPeerListener = listener("peer", config.listen().peer(), connections);
        mOperatorListener = listener("operator", config.listen().operator(), connections);
        mSupervisor.start(mPeerListener);
        mSupervisor.start(mClientListener);
        mSupervisor.start(mOperatorListener);
        mCaller =
                AsyncHttpClient.create(
                        mWorker,
                        mBuffers,
                        new HttpClientLimits(
                                config.limits().connectionsPerAddress(), CALLER_IDLE_MILLIS));
        mPlatform = PlatformClient.create(mCaller, config.platform());
        Member self =
                new Member(
                        config.host(),
                        config.incarnation(),
                        Addresses.format(mPeerListener.address()),
                        Addresses.format(mClientListener.address()),
                        Member.State.SERVING);
        mState = ClusterState.create(self, config.zone(), mLoop);
        MembershipStateMachine machine =
                MembershipStateMachine.create(self, config.zone(), schedule);
        mRoster = MembershipDriver.create(machine, mState, mLoop, mCaller, mPlatform, mMetrics);
        RandomGenerator random =
                new SplittableRandom(config.incarnation() ^ config.host().hashCode());
        mZones =
                new ZoneGossip(
                        mState, mLoop, mCaller, mPlatform, this::configuredZones, random, mMetrics);
        mSettings =
                SettingsReplicator.create(
                        mState,
                        new SettingsPublisher(),
                        mLoop,
                        mCaller,
                        mPlatform,
                        new SplittableRandom(config.incarnation() + config.host().hashCode()),
                        mMetrics);
        mPipeline =
                RequestPipeline.create(
                        mState, mCaller, mPlatform, TokenSigner.of(config.tokenKey()), mMetrics);
        mShutdown =
                new GracefulShutdown(
                        mState,
                        mRoster,
                        mLoop,
                        mPipeline::inFlight,
                        this::lookupLifetimeMillis,
                        config.limits().stopMillis());
    }

    /**
     * Starts a daemon.
     *
     * @throws Exception if a component cannot start, for example because a port is in use
     */
    public static Daemon start(DaemonConfig config) throws Exception {
        return start(config, HeartbeatSchedule.DEFAULT);
    }

    /** Starts a daemon with other heartbeat periods, which must be equal on all hosts of a zone. */
    static Daemon start(DaemonConfig config, HeartbeatSchedule schedule) throws Exception {
        Daemon daemon = new Daemon(config, schedule);
        try {
            daemon.run();
        } catch (Exception e) {
            daemon.close();
            throw e;
        }
        return daemon;
    }

    /** Begins a graceful shutdown; returns false if one has already begun. */
    public boolean stop(String reason) {
        return mShutdown.begin(reason, false);
    }

    /** Completes when the process may exit, with false if the cause was a failure. */
    public CompletableFuture<Boolean> ended() {
        return mShutdown.ended();
    }

    /** Returns the addresses of the listeners, for logs. */
    public String addresses() {
        return "client "
                + Addresses.format(mClientListener.address())
                + " peer "
                + Addresses.format(mPeerListener.address())
                + " operator "
                + Addresses.format(mOperatorListener.address());
    }

    /** Returns the cluster state as known to this process. */
    ClusterState state() {
        return mState;
    }

    /** Returns the client listener's address as {@code ip:port}. */
    public String clientAddress() {
        return Addresses.format(mClientListener.address());
    }

    /** Returns the operator listener's address as {@code ip:port}. */
    public String operatorAddress() {
        return Addresses.format(mOperatorListener.address());
    }

    @Override
    public void close() {
        mSupervisor.close();
        mCaller.close();
        mLoop.close();
        mWorker.shutdownNow();
    }

    private void run() throws Exception {
        PathHandler peer = new PathHandler(JsonHttpHandlers.notFound());
        PeerRoutes.add(peer, mRoster, mZones);
        peer.addPrefixPath("/peer/v1/dispatch", withFullPath(mPipeline.peerHandler()));
        peer.addPrefixPath("/peer/v1/once", withFullPath(mPipeline.peerHandler()));
        SettingsRoutes.addPeer(peer, mSettings);
        PathHandler operator = new PathHandler(JsonHttpHandlers.notFound());
        operator.addPrefixPath(EXPLAIN_PATH, JsonHttpHandlers.get(this::explain));
        new OperatorRoutes(
                        mState,
                        mRoster,
                        mLoop,
                        mSupervisor,
                        mMetrics,
                        mShutdown::status,
                        () -> mShutdown.begin("requested by an operator", false))
                .add(operator);
        SettingsRoutes.addOperator(operator, mSettings);
        registerGauges();
        mRoster.superseded().thenAccept(reason -> mShutdown.begin("superseded: " + reason, true));
        for (Component component : components()) {
            mSupervisor.start(component);
        }
        mPeerListener.handler(peer);
        mOperatorListener.handler(operator);
        mClientListener.handler(mPipeline.clientHandler());
        LOG.atInfo().log(
                "supervisor: host %s/%d of zone %s is listening on %s",
                mConfig.host(), mConfig.incarnation(), mConfig.zone(), addresses());
    }

    private List<Component> components() {
        List<Component> components = new ArrayList<>();
        components.add(mRoster);
        components.add(mZones);
        components.add(mSettings);
        components.add(new HostListPoller(mState, mRoster, mLoop, mPlatform, mMetrics));
        components.add(new LoadReportPoller(mState, mLoop, mCaller, mMetrics));
        return components;
    }

    private Object explain(HttpServerExchange exchange) {
        String id =
                exchange.getRequestPath().substring(EXPLAIN_PATH.length()).replaceFirst("^/", "");
        List<Map<String, Object>> records = new ArrayList<>();
        for (RoutingTrace record : mPipeline.traces(id)) {
            records.add(
                    Map.of(
                            "role", record.role(),
                            "service", record.service(),
                            "steps", record.steps()));
        }
        return Map.of("requestId", id, "records", records);
    }

    // Undertow's PathHandler strips the prefix from the relative path; the handlers need it whole.
    private static HttpHandler withFullPath(HttpHandler handler) {
        return exchange -> {
            exchange.setRelativePath(exchange.getRequestPath());
            handler.handleRequest(exchange);
        };
    }

    /** Publishes new settings to the cluster state and then to the roster driver. */
    private final class SettingsPublisher implements SettingsListener {
        @Override
        public void settingsUpdated(NavigableMap<Long, Settings> versions, ZoneAcks acks) {
            mState.settingsUpdated(versions, acks);
            mRoster.settingsChanged();
        }

        @Override
        public void noSettingsStored() {
            mState.noSettingsStored();
            mRoster.settingsChanged();
        }
    }

    private HttpListener listener(String name, InetSocketAddress address, int connections) {
        return new HttpListener(name, address, connections, mWorker, mBuffers);
    }

    private Set<String> configuredZones() {
        Settings settings = mState.activeSettings();
        return settings == null ? Set.of() : settings.zones();
    }

    private long lookupLifetimeMillis() {
        Settings settings = mState.activeSettings();
        return settings == null ? DEFAULT_LOOKUP_LIFETIME_MILLIS : settings.lookupLifetimeMillis();
    }

    private void onPermanentFailure(String component) {
        mShutdown.begin(component + " has failed permanently", true);
    }

    private void registerGauges() {
        gauge("settings.version", mState::settingsVersion);
        gauge("sites.owned", () -> mState.ownedServices().size());
        gauge("requests.in_flight", mPipeline::inFlight);
        gauge("roster.epoch", () -> mState.roster() == null ? 0 : mState.roster().epoch());
        gauge("roster.confirmed", () -> mState.holdsOwnerLease() ? 1 : 0);
        gauge(
                "supervisor.restarts",
                () ->
                        mSupervisor.status().stream()
                                .mapToLong(Supervisor.ComponentStatus::restarts)
                                .sum());
        Runtime runtime = Runtime.getRuntime();
        gauge("heap.used.bytes", () -> runtime.totalMemory() - runtime.freeMemory());
    }

    private void gauge(String name, Gauge<? extends Number> gauge) {
        mMetrics.register(name, gauge);
    }

    private static XnioWorker newWorker(int ioThreads) throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_NAME, "io")
                                .set(Options.WORKER_IO_THREADS, ioThreads)
                                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                .set(Options.WORKER_TASK_MAX_THREADS, 4)
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.THREAD_DAEMON, true)
                                .getMap());
    }
}
