package org.redwingladder.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.CallException;
import org.redwingladder.http.NotSentException;
import org.redwingladder.http.ResponseLostException;
import org.redwingladder.steering.Backend;
import org.redwingladder.steering.BackendSet;
import org.redwingladder.steering.BalancerDecision;
import org.redwingladder.steering.FreshnessPolicy;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HealthCheckers;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.IdleConnectionLimit;
import org.redwingladder.steering.LoadBalancer;
import org.redwingladder.steering.Route;
import org.redwingladder.steering.RouteTable;
import org.redwingladder.steering.SendResult;
import org.redwingladder.steering.SenderSelector;
import org.redwingladder.steering.SenderShare;
import org.redwingladder.steering.ServerRegistration;
import org.redwingladder.steering.ServiceSpec;
import org.redwingladder.steering.ServiceTimeEstimator;
import org.redwingladder.steering.SlidingWindowRetryBudget;
import org.redwingladder.steering.SteeringSettings;
import org.redwingladder.steering.WeightedRoundRobin;

/**
 * Chooses the backend servers of requests from the replicated state, and keeps the retry budgets
 * and idle connection limits of the services. Runs on the I/O thread.
 */
final class RequestRouter implements StoreReplica.Listener {
    /** The assumed round trip between regions; deployments have 40 to 70 ms. */
    private static final double CROSS_REGION_MILLIS = 50;

    /** How long the hosts that share servers' rates are cached; shorter than a gossip round. */
    private static final long SENDERS_TTL_NANOS = 200_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EntryConfig mConfig;
    private final GossipMembership mMembers;
    private final EventLog mLog;
    private final BackendSet mBackends;
    private final ServiceTimeEstimator mServiceTimes = new ServiceTimeEstimator();
    private final WeightedRoundRobin mTrafficSplits = new WeightedRoundRobin();
    private final LoadBalancer mPlacer;
    private final Map<String, SlidingWindowRetryBudget> mRetryBudgets = new HashMap<>();
    private final Map<String, IdleConnectionLimit> mIdleLimits = new HashMap<>();
    private final ServerConditions mConditions;
    private final RateLimitMetrics mRateLimitMetrics;
    private final SenderSelector mSenders;
    private long mSendersExpireNanos = System.nanoTime();
    private EntryConfig.Bounds mBounds;
    private @Nullable RouteTable mRoutes;
    private Consumer<SteeringSettings> mOnSettings = settings -> {};
    private Consumer<Backend> mOnConnectionsLost = backend -> {};
    private long mSettingsVersion;

    RequestRouter(
            EntryConfig config,
            GossipMembership members,
            ServerConditions conditions,
            EntryMetrics metrics,
            EventLog log) {
        mConfig = config;
        mBounds = config.bounds();
        mMembers = members;
        mLog = log;
        mBackends = BackendSet.create(config.regionOfZone());
        mPlacer =
                LoadBalancer.create(
                        config.region(),
                        mBackends,
                        mServiceTimes,
                        (from, to) -> from.equals(to) ? 0 : CROSS_REGION_MILLIS);
        mConditions = conditions;
        mRateLimitMetrics = new RateLimitMetrics(metrics);
        conditions.rateLimits().replicated().onChange(this::applyRateLimits);
        conditions.warmUps().replicated().onChange(this::applyWarmUps);
        conditions.leavings().replicated().onChange(this::applyLeavings);
        mSenders = SenderSelector.create(config.host());
        mPlacer.rateShares(this::rateShare);
    }

    /** Sets a consumer of settings that have come into force. */
    void onSettings(Consumer<SteeringSettings> receiver) {
        mOnSettings = receiver;
    }

    /** Sets a consumer of servers that were ejected because requests at them were lost. */
    void onConnectionsLost(Consumer<Backend> receiver) {
        mOnConnectionsLost = receiver;
    }

    /** Records that a server was ejected because of the result of an attempt. */
    void recordEjection(Backend backend, SendResult result) {
        if (result == SendResult.LOST) {
            mOnConnectionsLost.accept(backend);
        }
    }

    /** Replaces the bounds; if they changed, the retry budgets are reset. */
    void bounds(EntryConfig.Bounds bounds) {
        if (!bounds.equals(mBounds)) {
            mBounds = bounds;
            mRetryBudgets.clear();
        }
    }

    private void applyRateLimits() {
        mBackends.applyRateLimits(mConditions.rateLimits().table());
        mRateLimitMetrics.update(mBackends.limited());
    }

    private void applyWarmUps() {
        mBackends.applyWarmUps(mConditions.warmUps().table());
    }

    private void applyLeavings() {
        mBackends.applyLeavings(mConditions.leavings().table());
    }

    /** Returns the share of a server's rate that this host may use. */
    private SenderShare rateShare(String service, String serverId, int maxSenders) {
        long now = System.nanoTime();
        if (now - mSendersExpireNanos >= 0) {
            updateSenders(now);
        }
        return mSenders.share(service, serverId, maxSenders);
    }

    private void updateSenders(long now) {
        mSendersExpireNanos = now + SENDERS_TTL_NANOS;
        mSenders.updateHosts(mMembers.alive(now), mMembers.reachableFraction(now), now);
    }

    @Override
    public void settingsChanged(SteeringSettings settings) {
        mRoutes = RouteTable.of(settings);
        mSettingsVersion = settings.version();
        mBackends.updateServices(settings.services());
        mPlacer.updateRoutes(settings.routes());
        mOnSettings.accept(settings);
    }

    @Override
    public void evacuatedZonesChanged(Set<String> zones) {
        mBackends.updateEvacuatedZones(zones, System.nanoTime());
    }

    @Override
    public void serversChanged(Map<String, ServerRegistration> servers) {
        int before = mBackends.size();
        long now = System.nanoTime();
        mBackends.updateServers(servers.values(), now);
        mConditions.updateServers(servers.values(), now);
        applyRateLimits();
        applyWarmUps();
        applyLeavings();
        if (before != mBackends.size()) {
            mLog.event("state", "servers").with("count", mBackends.size()).write();
        }
    }

    /** Returns the route table, null until settings are known. */
    @Nullable RouteTable routes() {
        return mRoutes;
    }

    /** Returns the version of the settings in force, 0 before the first ones. */
    long settingsVersion() {
        return mSettingsVersion;
    }

    /** Returns the service of the next request of a route, according to the traffic split. */
    String chooseService(Route route) {
        return mTrafficSplits.next(route);
    }

    /** Chooses the backend server of an attempt, or refuses it. */
    BalancerDecision place(LoadBalancer.Request request) {
        return mPlacer.choose(request, System.nanoTime());
    }

    /** Returns whether an attempt may still be sent to the server that was chosen for it. */
    boolean maySend(Backend backend) {
        return mBackends.mayReceive(backend, System.nanoTime());
    }

    /** Returns the observed service times. */
    ServiceTimeEstimator times() {
        return mServiceTimes;
    }

    /** Updates the service time estimates with a response, unless queueing was expected. */
    void recordResponseTime(
            Route route, String service, BalancerDecision.Send placement, long sentNanos) {
        if (placement.waitMillis() > 0) {
            return;
        }
        double millis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        if (placement.warm()) {
            mServiceTimes.recordWarm(service, millis, route.objectiveMillis());
        } else {
            mServiceTimes.recordCold(service, millis, route.objectiveMillis());
        }
    }

    /**
     * Returns the longest idle time of a connection that may be reused for a service's requests.
     */
    long maxIdleNanos(String service) {
        IdleConnectionLimit limit = mIdleLimits.get(service);
        return limit == null ? Long.MAX_VALUE : limit.maxIdleNanos(System.nanoTime());
    }

    /** Updates the idle limit of a service if an attempt's connection was cut off. */
    void recordLostResponse(String service, ResponseLostException cause, long sentNanos) {
        if (cause.reason() != ResponseLostException.Cause.CUT_OFF) {
            return;
        }
        long now = System.nanoTime();
        IdleConnectionLimit limit =
                mIdleLimits.computeIfAbsent(service, s -> IdleConnectionLimit.create());
        long before = limit.maxIdleNanos(now);
        limit.recordLoss(cause.idleNanos(), sentNanos, now);
        if (limit.maxIdleNanos(now) != before) {
            mLog.event("state", "rest-limit")
                    .with("service", service)
                    .with("millis", limit.maxIdleNanos(now) / 1_000_000)
                    .write();
        }
    }

    /** Records what a response of a server states beside its result. */
    void recordStatements(Backend backend, WireFormat.ServerHeaders response, long sentNanos) {
        ServerRegistration server = backend.registration();
        if (response.statesRateLimit()) {
            mConditions.rateLimits().recordAnswer(server, response.limit(), sentNanos);
        }
        if (response.fromExpectedServer()) {
            recordAnswer(server, response.coldMillis(), response.leaving(), sentNanos);
            if (response.retryAfterMillis() > 0) {
                backend.holdOffUntil(
                        System.nanoTime()
                                + TimeUnit.MILLISECONDS.toNanos(response.retryAfterMillis()));
            }
        }
    }

    /** Records a server's answer to a health check. */
    void recordHealth(Backend backend, WireFormat.Health health, long sentNanos) {
        ServerRegistration server = backend.registration();
        if (health.serverId() == null || health.serverId().equals(server.id())) {
            recordAnswer(server, health.coldMillis(), health.leaving(), sentNanos);
        }
    }

    private void recordAnswer(
            ServerRegistration server, @Nullable Long coldMillis, boolean leaving, long sentNanos) {
        if (leaving) {
            mConditions.leavings().recordLeaving(server);
        }
        mConditions
                .warmUps()
                .recordAnswer(server, coldMillis, mBackends.warmUpMillis(server), sentNanos);
    }

    /** Records why a request or a health check did not reach a server. */
    void recordNotSent(Backend backend, NotSentException cause, long sentNanos) {
        if (cause.reason() == NotSentException.Cause.NOT_LISTENING) {
            mConditions.warmUps().recordNotListening(backend.registration(), sentNanos);
        }
    }

    /**
     * Returns the servers whose health this host has to check: its part of all servers while the
     * store is away, else of those that are absent.
     *
     * @param serversProvenNanos up to when the table of servers is proven to be up to date
     */
    List<Backend> serversToCheck(long serversProvenNanos) {
        long now = System.nanoTime();
        List<HostState> alive = mMembers.alive(now);
        boolean all =
                FreshnessPolicy.storeAway(
                        serversProvenNanos, alive, mConfig.region(), mConfig.regionOfZone(), now);
        List<Backend> due =
                mBackends.usable().stream()
                        .filter(backend -> all || backend.absent())
                        .filter(backend -> backend.holdOffNanos(now) == 0)
                        .toList();
        if (due.isEmpty()) {
            return due;
        }
        HealthCheckers checkers = HealthCheckers.among(alive, mConfig.regionOfZone());
        return due.stream()
                .filter(b -> checkers.isChecker(mConfig.host(), b.registration()))
                .toList();
    }

    /** Returns the path for health checks of a server, null if its service has none. */
    @Nullable String healthPath(Backend backend) {
        ServiceSpec service = mBackends.service(backend.registration().service());
        return service == null ? null : service.healthPath();
    }

    /** Returns the number of cold servers. */
    int coldServers() {
        return mBackends.coldCount(System.nanoTime());
    }

    /** Returns the number of servers that have named a rate limit. */
    int limitedServers() {
        return mBackends.limited().size();
    }

    /** Maps the failure of a call to the result of the attempt. */
    static SendResult resultOf(CallException cause) {
        if (cause instanceof NotSentException notSent) {
            return notSent.reason() == NotSentException.Cause.WITHDRAWN
                    ? SendResult.WITHDRAWN
                    : SendResult.UNREACHABLE;
        }
        return cause instanceof ResponseLostException lost
                        && lost.reason() == ResponseLostException.Cause.DEADLINE
                ? SendResult.TIMED_OUT
                : SendResult.LOST;
    }

    /** Counts a request, which adds to the service's retry budget. */
    void countRequest(String service) {
        retryBudget(service).recordRequest(System.nanoTime());
    }

    /** Takes a retry or hedge from the service's budget; returns false if it is exhausted. */
    boolean trySpendRetry(String service) {
        long now = System.nanoTime();
        return retryBudget(service).tryAcquire(mMembers.budgetSharers(now), now);
    }

    private SlidingWindowRetryBudget retryBudget(String service) {
        EntryConfig.Bounds bounds = mBounds;
        return mRetryBudgets.computeIfAbsent(
                service,
                s ->
                        SlidingWindowRetryBudget.create(
                                bounds.retryRatio(),
                                bounds.retryAllowance(),
                                bounds.retryWindowMillis() * 1_000_000L));
    }

    /**
     * Adjusts the regions' shares of each service's requests and the hosts that share the rates and
     * connections of servers; called once a second.
     */
    void rebalance() {
        long now = System.nanoTime();
        updateSenders(now);
        mConditions.removeExpired(now);
        mPlacer.hostCount(mMembers.budgetSharers(now));
        mPlacer.updateRegionShares(
                mMembers.demandByServiceAndRegion(mConfig.regionOfZone(), now), now);
    }
}
