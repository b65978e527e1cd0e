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
import org.redwingladder.control.ControlLoop;
import org.redwingladder.control.HostListDriver;
import org.redwingladder.control.HttpJson;
import org.redwingladder.control.LoadReportDriver;
import org.redwingladder.control.OperatorRoutes;
import org.redwingladder.control.PeerRoutes;
import org.redwingladder.control.RosterDriver;
import org.redwingladder.control.SettingsDriver;
import org.redwingladder.control.SettingsRoutes;
import org.redwingladder.control.SettingsSink;
import org.redwingladder.control.ZoneExchange;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.CallerLimits;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.membership.HeartbeatSchedule;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.RosterMachine;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.request.RequestPipeline;
import org.redwingladder.request.RoutingTrace;
import org.redwingladder.settings.Acks;
import org.redwingladder.settings.Settings;
import org.redwingladder.supervisor.Component;
import org.redwingladder.supervisor.Supervisor;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Wires the parts of one entry host together and owns them. */
public final class Daemon implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String EXPLAIN = "/v1/explain";
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int POOLED_BUFFERS = 256;
    private static final int BUFFERS_PER_THREAD = 4;
    private static final int CALLER_IDLE_MILLIS = 30_000;
    private static final long DEFAULT_LOOKUP_LIFETIME_MILLIS = 5000;

    private final DaemonConfig mConfig;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final ControlLoop mLoop = ControlLoop.create();
    private final Supervisor mSupervisor;
    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers;
    private final Listener mClient;
    private final Listener mPeer;
    private final Listener mOperator;
    private final HttpCaller mCaller;
    private final PlatformClient mPlatform;
    private final ClusterState mState;
    private final RosterDriver mRoster;
    private final ZoneExchange mZones;
    private final SettingsDriver mSettings;
    private final RequestPipeline mRequests;
    private final PlannedStop mStop;

    private Daemon(DaemonConfig config, HeartbeatSchedule schedule) throws Exception {
        mConfig = config;
        mSupervisor = Supervisor.create(mLoop.executor(), mLoop::nowMillis, this::givenUp);
        mWorker = newWorker(config.limits().ioThreads());
        mBuffers =
                new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, BUFFERS_PER_THREAD);
        int connections = config.limits().connections();
        mClient = listener("client", config.listen().client(), connections);
        mPeer = listener("peer", config.listen().peer(), connections);
        mOperator = listener("operator", config.listen().operator(), connections);
        mSupervisor.start(mPeer);
        mSupervisor.start(mClient);
        mSupervisor.start(mOperator);
        mCaller =
                HttpCaller.create(
                        mWorker,
                        mBuffers,
                        new CallerLimits(
                                config.limits().connectionsPerAddress(), CALLER_IDLE_MILLIS));
        mPlatform = PlatformClient.create(mCaller, config.platform());
        Member self =
                new Member(
                        config.host(),
                        config.incarnation(),
                        Addresses.format(mPeer.address()),
                        Addresses.format(mClient.address()),
                        Member.State.SERVING);
        mState = ClusterState.create(self, config.zone(), mLoop);
        RosterMachine machine = RosterMachine.create(self, config.zone(), schedule);
        mRoster = RosterDriver.create(machine, mState, mLoop, mCaller, mPlatform, mMetrics);
        RandomGenerator random =
                new SplittableRandom(config.incarnation() ^ config.host().hashCode());
        mZones =
                new ZoneExchange(
                        mState, mLoop, mCaller, mPlatform, this::zonesOfSettings, random, mMetrics);
        mSettings =
                SettingsDriver.create(
                        mState,
                        new SettingsDelivery(),
                        mLoop,
                        mCaller,
                        mPlatform,
                        new SplittableRandom(config.incarnation() + config.host().hashCode()),
                        mMetrics);
        mRequests =
                RequestPipeline.create(
                        mState, mCaller, mPlatform, TokenSigner.of(config.tokenKey()), mMetrics);
        mStop =
                new PlannedStop(
                        mState,
                        mRoster,
                        mLoop,
                        mRequests::inFlight,
                        this::lookupLifetimeMillis,
                        config.limits().stopMillis());
    }

    /**
     * Starts a daemon.
     *
     * @throws Exception if a part cannot start, for example because a port is in use
     */
    public static Daemon start(DaemonConfig config) throws Exception {
        return start(config, HeartbeatSchedule.DEFAULT);
    }

    /** Starts a daemon with other heartbeat periods, which all members of a zone must share. */
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

    /** Begins a planned stop; returns false if one had begun before. */
    public boolean stop(String reason) {
        return mStop.begin(reason, false);
    }

    /** Completes when the process may end, with whether its stop was planned. */
    public CompletableFuture<Boolean> ended() {
        return mStop.ended();
    }

    /** Returns the addresses of the listeners, for logs. */
    public String addresses() {
        return "client "
                + Addresses.format(mClient.address())
                + " peer "
                + Addresses.format(mPeer.address())
                + " operator "
                + Addresses.format(mOperator.address());
    }

    /** Returns the state of the cluster as this process knows it. */
    ClusterState state() {
        return mState;
    }

    /** Returns the client listener's address as {@code ip:port}. */
    public String clientAddress() {
        return Addresses.format(mClient.address());
    }

    /** Returns the operator listener's address as {@code ip:port}. */
    public String operatorAddress() {
        return Addresses.format(mOperator.address());
    }

    @Override
    public void close() {
        mSupervisor.close();
        mCaller.close();
        mLoop.close();
        mWorker.shutdownNow();
    }

    private void run() throws Exception {
        PathHandler peer = new PathHandler(HttpJson.unknownPath());
        PeerRoutes.add(peer, mRoster, mZones);
        peer.addPrefixPath("/peer/v1/dispatch", keepingPath(mRequests.peerHandler()));
        peer.addPrefixPath("/peer/v1/once", keepingPath(mRequests.peerHandler()));
        SettingsRoutes.addPeer(peer, mSettings);
        PathHandler operator = new PathHandler(HttpJson.unknownPath());
        operator.addPrefixPath(EXPLAIN, HttpJson.get(this::explain));
        new OperatorRoutes(
                        mState,
                        mRoster,
                        mLoop,
                        mSupervisor,
                        mMetrics,
                        mStop::status,
                        () -> mStop.begin("an operator asked for it", false))
                .add(operator);
        SettingsRoutes.addOperator(operator, mSettings);
        registerGauges();
        mRoster.superseded().thenAccept(reason -> mStop.begin("superseded: " + reason, true));
        for (Component part : parts()) {
            mSupervisor.start(part);
        }
        mPeer.handler(peer);
        mOperator.handler(operator);
        mClient.handler(mRequests.clientHandler());
        LOG.atInfo().log(
                "supervisor: host %s/%d of zone %s listens on %s",
                mConfig.host(), mConfig.incarnation(), mConfig.zone(), addresses());
    }

    private List<Component> parts() {
        List<Component> parts = new ArrayList<>();
        parts.add(mRoster);
        parts.add(mZones);
        parts.add(mSettings);
        parts.add(new HostListDriver(mState, mRoster, mLoop, mPlatform, mMetrics));
        parts.add(new LoadReportDriver(mState, mLoop, mCaller, mMetrics));
        return parts;
    }

    private Object explain(HttpServerExchange exchange) {
        String id = exchange.getRequestPath().substring(EXPLAIN.length()).replaceFirst("^/", "");
        List<Map<String, Object>> records = new ArrayList<>();
        for (RoutingTrace record : mRequests.traces(id)) {
            records.add(
                    Map.of(
                            "role", record.role(),
                            "service", record.service(),
                            "steps", record.steps()));
        }
        return Map.of("requestId", id, "records", records);
    }

    // The path handler strips the prefix from the relative path only; the request URI stays.
    private static HttpHandler keepingPath(HttpHandler handler) {
        return exchange -> {
            exchange.setRelativePath(exchange.getRequestPath());
            handler.handleRequest(exchange);
        };
    }

    /** Hands settings to the cluster state and tells the roster. */
    private final class SettingsDelivery implements SettingsSink {
        @Override
        public void settings(NavigableMap<Long, Settings> versions, Acks acks) {
            mState.settings(versions, acks);
            mRoster.settingsChanged();
        }

        @Override
        public void noSettings() {
            mState.noSettings();
            mRoster.settingsChanged();
        }
    }

    private Listener listener(String name, InetSocketAddress address, int connections) {
        return new Listener(name, address, connections, mWorker, mBuffers);
    }

    private Set<String> zonesOfSettings() {
        Settings settings = mState.settingsInForce();
        return settings == null ? Set.of() : settings.zones();
    }

    private long lookupLifetimeMillis() {
        Settings settings = mState.settingsInForce();
        return settings == null ? DEFAULT_LOOKUP_LIFETIME_MILLIS : settings.lookupLifetimeMillis();
    }

    private void givenUp(String part) {
        mStop.begin(part + " cannot be restarted", true);
    }

    private void registerGauges() {
        gauge("settings.version", mState::settingsVersion);
        gauge("sites.owned", () -> mState.ownedServices().size());
        gauge("requests.in_flight", mRequests::inFlight);
        gauge("roster.epoch", () -> mState.roster() == null ? 0 : mState.roster().epoch());
        gauge("roster.confirmed", () -> mState.isConfirmed() ? 1 : 0);
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
