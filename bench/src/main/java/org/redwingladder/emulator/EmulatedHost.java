package org.redwingladder.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.redwingladder.steering.AttemptTracker;
import org.redwingladder.steering.Backend;
import org.redwingladder.steering.BackendSet;
import org.redwingladder.steering.BalancerDecision;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.LoadBalancer;
import org.redwingladder.steering.Route;
import org.redwingladder.steering.SendResult;
import org.redwingladder.steering.SenderSelector;
import org.redwingladder.steering.ServerRateLimit;
import org.redwingladder.steering.ServerRateLimitTable;
import org.redwingladder.steering.ServerRegistration;
import org.redwingladder.steering.ServiceSpec;
import org.redwingladder.steering.ServiceTimeEstimator;
import org.redwingladder.steering.SlidingWindowRetryBudget;
import org.redwingladder.steering.TriedServers;
import org.redwingladder.steering.WeightedService;

/** Plays an entry host over the real decisions, with what it can know at the time. */
final class EmulatedHost {
    /** As in the deployments that the emulator describes: the budget over all hosts. */
    private static final double RETRY_RATIO = 0.2;

    private static final double RETRY_ALLOWANCE = 120;
    private static final long RETRY_WINDOW_NANOS = 10_000_000_000L;
    private static final int MAX_ATTEMPTS = 2;
    private static final long UNREACHABLE_NANOS = 300_000_000L;

    /** The bounds of doubled sends, as in the flow of a real request. */
    private static final double HEDGE_FACTOR = 2.2;

    private static final double HEDGE_MAX_WAIT = 0.15;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final double COLD_PER_SECOND = 9;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Emulation mWorld;
    private final String mName;
    private final String mZone;
    private final SenderSelector mSenders;
    private final ServerRateLimitTable mLimits;
    private final Set<Strategy.Mechanism> mWithout;
    private final BackendSet mBackends;
    private final ServiceTimeEstimator mTimes = new ServiceTimeEstimator();
    private final LoadBalancer mPlacer;
    private final Map<String, Route> mRoutes = new HashMap<>();
    private final Map<String, SlidingWindowRetryBudget> mRetries = new HashMap<>();
    private final Map<String, Integer> mCounts = new HashMap<>();

    EmulatedHost(Emulation world, String name, String zone, Set<Strategy.Mechanism> without) {
        mWorld = world;
        mName = name;
        mSenders = SenderSelector.create(name);
        mLimits = ServerRateLimitTable.create(name);
        mZone = zone;
        mWithout = without;
        Map<String, String> regions = world.site().regionOfZone();
        mBackends = BackendSet.create(regions);
        mPlacer =
                LoadBalancer.create(
                        String.valueOf(regions.get(zone)),
                        mBackends,
                        mTimes,
                        (from, to) ->
                                from.equals(to) ? 0 : 2 * world.site().delays().regionMillis());
        mPlacer.rateShares(mSenders::share);
        Map<String, ServiceSpec> specs = new HashMap<>();
        for (EmulatedSite.Service service : world.site().services()) {
            specs.put(
                    service.name(),
                    new ServiceSpec(service.name(), 1000, WARM_UP_MILLIS, COLD_PER_SECOND));
            mRetries.put(
                    service.name(),
                    SlidingWindowRetryBudget.create(
                            RETRY_RATIO, RETRY_ALLOWANCE, RETRY_WINDOW_NANOS));
        }
        for (EmulatedSite.Kind kind : world.site().kinds()) {
            mRoutes.put(kind.name(), route(kind));
        }
        mBackends.updateServices(specs);
        mPlacer.updateRoutes(List.copyOf(mRoutes.values()));
        plan(Map.of());
    }

    private Route route(EmulatedSite.Kind kind) {
        return new Route(
                kind.name(),
                "h",
                "/" + kind.name() + "/",
                kind.kind(),
                kind.deadlineMillis(),
                kind.objectiveMillis(),
                kind.priority(),
                List.of(new WeightedService(kind.service(), 1)),
                mWithout.contains(Strategy.Mechanism.REPEATS) ? 1 : MAX_ATTEMPTS,
                !mWithout.contains(Strategy.Mechanism.AFFINITY),
                Set.of());
    }

    String zone() {
        return mZone;
    }

    BackendSet backends() {
        return mBackends;
    }

    /** Returns this host as the others know it; each has client traffic for all services. */
    HostState state() {
        Map<String, Double> demand = new HashMap<>();
        mRetries.keySet().forEach(service -> demand.put(service, 1.0));
        return new HostState(mName, 1, 1, mZone, mName, mName, true, true, 1, demand);
    }

    void updateSenders(List<HostState> hosts) {
        mSenders.updateHosts(hosts, 1, mWorld.time().nowNanos());
    }

    void updateServers(List<ServerRegistration> servers) {
        mBackends.updateServers(servers, mWorld.time().nowNanos());
        mLimits.updateServers(servers, mWorld.time().nowNanos());
        mBackends.applyRateLimits(mLimits);
    }

    /** Merges a rate limit that another host read in an answer. */
    void mergeLimit(ServerRateLimit limit) {
        mLimits.merge(List.of(limit), mWorld.time().nowNanos());
        mBackends.applyRateLimits(mLimits);
    }

    /** Moves the parts of the regions to a demand that the hosts told each other. */
    void plan(Map<String, Map<String, Double>> demand) {
        if (!mWithout.contains(Strategy.Mechanism.REGIONS)) {
            mPlacer.updateRegionShares(demand, mWorld.time().nowNanos());
        }
    }

    /** Returns the requests by service since the last call. */
    Map<String, Integer> takeCounts() {
        Map<String, Integer> counts = Map.copyOf(mCounts);
        mCounts.clear();
        return counts;
    }

    void handle(EmulatedRequest request) {
        mCounts.merge(request.kind().service(), 1, Integer::sum);
        retries(request).recordRequest(mWorld.time().nowNanos());
        new Flow(request).start();
    }

    private SlidingWindowRetryBudget retries(EmulatedRequest request) {
        SlidingWindowRetryBudget share = mRetries.get(request.kind().service());
        if (share == null) {
            throw new IllegalStateException("no service " + request.kind().service());
        }
        return share;
    }

    /** Carries one try of a request. */
    private final class Flow {
        private final EmulatedRequest mRequest;
        private final Route mRoute;
        private final AttemptTracker mHistory;
        private final TriedServers mTried = new TriedServers();
        private final List<Backend> mOpen = new ArrayList<>();
        private boolean mDone;

        Flow(EmulatedRequest request) {
            mRequest = request;
            Route route = mRoutes.get(request.kind().name());
            if (route == null) {
                throw new IllegalStateException("no route " + request.kind().name());
            }
            mRoute = route;
            mHistory = AttemptTracker.create(route);
        }

        void start() {
            switch (place()) {
                case BalancerDecision.Send send -> {
                    send(send);
                    scheduleHedge(send);
                }
                case BalancerDecision.Refuse refuse -> refuse(refuse.retryAfterMillis());
            }
        }

        private BalancerDecision place() {
            return mPlacer.choose(
                    new LoadBalancer.Request(
                            mRoute,
                            mRequest.kind().service(),
                            mRequest.object(),
                            mTried,
                            mRequest.untilNanos()),
                    mWorld.time().nowNanos());
        }

        private void refuse(long retryAfterMillis) {
            mDone = true;
            mWorld.refused(this.mRequest, retryAfterMillis);
        }

        private void scheduleHedge(BalancerDecision.Send first) {
            if (!mHistory.mayHedge() || mWithout.contains(Strategy.Mechanism.HEDGES)) {
                return;
            }
            double millis = HEDGE_FACTOR * (first.waitMillis() + first.serviceMillis());
            mWorld.time().after((long) (millis * NANOS_PER_MILLI), this::hedge);
        }

        private void hedge() {
            long now = mWorld.time().nowNanos();
            if (mDone || mOpen.size() != 1 || !mHistory.hasAttemptsLeft()) {
                return;
            }
            if (place() instanceof BalancerDecision.Send send
                    && send.waitMillis() <= HEDGE_MAX_WAIT * send.serviceMillis()
                    && retries(mRequest).tryAcquire(mWorld.hosts().size(), now)) {
                mWorld.results().extraSend();
                send(send);
            }
        }

        private void send(BalancerDecision.Send placement) {
            Backend backend = placement.server();
            long sent = mWorld.time().nowNanos();
            mTried.add(backend.registration());
            mOpen.add(backend);
            AttemptTracker.Attempt attempt = mHistory.start(backend.registration().id());
            backend.recordSent(sent);
            EmulatedServer server = mWorld.server(backend.registration().id());
            mWorld.send(
                    mZone,
                    server,
                    mRequest,
                    result -> ended(placement, attempt, sent, result, server));
        }

        private void ended(
                BalancerDecision.Send placement,
                AttemptTracker.Attempt attempt,
                long sent,
                SendResult result,
                EmulatedServer server) {
            long now = mWorld.time().nowNanos();
            Backend backend = placement.server();
            double expected = placement.waitMillis() + placement.serviceMillis();
            backend.recordEnd(mDone ? SendResult.CANCELLED : result, sent, expected, now);
            mOpen.remove(backend);
            attempt.end(result);
            if (result == SendResult.ANSWERED
                    && !mWithout.contains(Strategy.Mechanism.RATE_LIMITS)) {
                readLimit(backend, server, sent);
            }
            if (result != SendResult.UNREACHABLE
                    && !mWithout.contains(Strategy.Mechanism.LOAD_REPORTS)) {
                backend.recordLoad(server.load(), now);
            }
            if (mDone) {
                return;
            }
            if (result == SendResult.ANSWERED) {
                mDone = true;
                learn(placement, sent, now);
                mWorld.answered(mRequest);
                return;
            }
            again(result);
        }

        private void readLimit(Backend backend, EmulatedServer server, long sent) {
            ServerRateLimit changed =
                    mLimits.recordAnswer(
                            backend.registration(),
                            server.rateLimitStatement(),
                            sent,
                            mWorld.time().nowNanos());
            if (changed != null) {
                mBackends.applyRateLimits(mLimits);
                mWorld.forward(changed);
            }
        }

        private void learn(BalancerDecision.Send placement, long sent, long now) {
            if (placement.waitMillis() > 0) {
                return;
            }
            double millis = (now - sent) / NANOS_PER_MILLI;
            String service = mRequest.kind().service();
            if (placement.warm()) {
                mTimes.recordWarm(service, millis, mRoute.objectiveMillis());
            } else {
                mTimes.recordCold(service, millis, mRoute.objectiveMillis());
            }
        }

        private void again(SendResult result) {
            long now = mWorld.time().nowNanos();
            if (!mOpen.isEmpty()) {
                return;
            }
            if (mHistory.mayRetry(result, mRequest.untilNanos() - now)
                    && place() instanceof BalancerDecision.Send send
                    && (result == SendResult.UNREACHABLE
                            || retries(mRequest).tryAcquire(mWorld.hosts().size(), now))) {
                mWorld.results().extraSend();
                send(send);
            } else {
                refuse((long) mTimes.medianMillis(mRequest.kind().service(), 200));
            }
        }
    }

    static long unreachableNanos() {
        return UNREACHABLE_NANOS;
    }
}
