package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Selects the backend server for each request, or refuses the request.
 *
 * <p>Requests for the same object are sent to a few servers, the same from all hosts, so that they
 * hit the servers' caches. A region whose demand exceeds its capacity sends a gradually changing
 * share of its requests to other regions. A request whose expected queueing time is longer than is
 * useful to its client is refused immediately, so that queues stay short and admitted requests are
 * answered in time. Times are in milliseconds unless named otherwise. Not thread-safe.
 */
public final class LoadBalancer {
    /**
     * The expected cache miss probability at an object's second-ranked server. Overflow from the
     * first-ranked server always goes to the second, which therefore often has the object cached.
     */
    private static final double SECOND_SERVER_MISS_RATE = 0.5;

    /**
     * The load, relative to its slots, up to which an object's second-ranked server accepts
     * overflow from the first.
     */
    private static final double SECOND_SERVER_MAX_LOAD = 0.75;

    /**
     * The load, relative to its slots, up to which a server accepts requests for objects that are
     * not in its cache. Cache misses take several times longer; under load they would displace
     * requests with cache hits and cause cache thrashing.
     */
    private static final double OTHER_SERVERS_MAX_LOAD = 0.5;

    /** Below this cold factor a cache miss costs too little to keep requests from free servers. */
    private static final double MIN_LIMITED_COLD_FACTOR = 1.3;

    /** The service time of a server that has just started, as a multiple of the usual time. */
    private static final double COLD_SERVER_SLOWDOWN = 2;

    /** The share of the objective that a request may always wait, even if it will be late. */
    private static final double MIN_WAIT_SHARE = 0.35;

    /** The share of the allowed wait for the lower-priority requests of a service. */
    private static final double LOW_PRIORITY_WAIT_SHARE = 0.5;

    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 2000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The largest share of a region's requests that may move to other regions within a second. */
    private static final double MAX_SHARE_SHIFT_PER_SECOND = 0.04;

    private final String mRegion;
    private final BackendSet mBackends;
    private final ServiceTimeEstimator mTimes;
    private final CrossRegionDelay mDelay;
    private final Map<String, Map<String, Double>> mRegionShares = new HashMap<>();
    private final Map<String, Map<String, Double>> mRoundRobinCredits = new HashMap<>();
    private final ServerRankings mRankings;
    private long mSharesUpdatedNanos;
    private final Set<String> mServicesWithRequests = new HashSet<>();
    private Map<String, Integer> mHighestPriorities = Map.of();
    private Map<String, Long> mObjectiveMillis = Map.of();
    private final SharedServerRates mRates;

    /** The additional latency of requests that are served in another region. */
    public interface CrossRegionDelay {
        /** Returns the additional round-trip time in milliseconds. */
        double millis(String fromRegion, String toRegion);
    }

    /**
     * The servers that are considered for a request.
     *
     * @param byRegion the servers to which the request may be sent, by region
     * @param limited the servers that are left out because of their rate limits
     * @param holdOffNanos the shortest time after which a server that wants no requests may want
     *     some again, {@link Long#MAX_VALUE} if there is no such server
     */
    private record Candidates(
            Map<String, List<Backend>> byRegion, List<Backend> limited, long holdOffNanos) {}

    /**
     * A request for which a server is selected.
     *
     * @param route the request's route
     * @param service the service that was selected for the request
     * @param objectKey the key of the object that the request accesses, null if unknown
     * @param excluded servers to which the request was already sent
     * @param untilNanos the request's deadline
     */
    public record Request(
            Route route,
            String service,
            @Nullable String objectKey,
            TriedServers excluded,
            long untilNanos) {}

    private LoadBalancer(
            String region,
            BackendSet backends,
            ServiceTimeEstimator times,
            CrossRegionDelay delay) {
        mRegion = region;
        mBackends = backends;
        mRates = new SharedServerRates(backends);
        mRankings = new ServerRankings(backends);
        mTimes = times;
        mDelay = delay;
    }

    /** Creates a load balancer for a host in {@code region}. */
    public static LoadBalancer create(
            String region,
            BackendSet backends,
            ServiceTimeEstimator times,
            CrossRegionDelay delay) {
        return new LoadBalancer(region, backends, times, delay);
    }

    /** Sets this host's shares of the servers' rates; by default that of the first sender. */
    public void rateShares(SharedServerRates.Shares shares) {
        mRates.shares(shares);
    }

    /** Sets the number of hosts that share the connections of servers; by default 1. */
    public void hostCount(int hosts) {
        mRates.hostCount(hosts);
    }

    /** Replaces the routes, which determine the priorities and objectives of their services. */
    public void updateRoutes(List<Route> routes) {
        Map<String, Integer> priorities = new HashMap<>();
        Map<String, Long> objectives = new HashMap<>();
        for (Route route : routes) {
            for (WeightedService destination : route.destinations()) {
                priorities.merge(destination.service(), route.priority(), Math::min);
                objectives.merge(destination.service(), route.objectiveMillis(), Math::max);
            }
        }
        mHighestPriorities = priorities;
        mObjectiveMillis = objectives;
    }

    /**
     * Moves the regions' shares of requests towards their targets; called about once a second.
     *
     * @param demand requests per second by service and client region, as reported by the hosts
     */
    public void updateRegionShares(Map<String, Map<String, Double>> demand, long nowNanos) {
        double maxShift =
                MAX_SHARE_SHIFT_PER_SECOND * (nowNanos - mSharesUpdatedNanos) / NANOS_PER_SECOND;
        mSharesUpdatedNanos = nowNanos;
        for (String service : mHighestPriorities.keySet()) {
            Map<String, Double> target = targetShares(service, demand.get(service));
            Map<String, Double> current = mRegionShares.get(service);
            if (!target.isEmpty()) {
                // A sudden change affects clients only if this host has applied the old shares.
                boolean applyImmediately =
                        current == null || !mServicesWithRequests.contains(service);
                mRegionShares.put(
                        service,
                        applyImmediately
                                ? target
                                : RegionSpillover.shift(current, target, maxShift));
            }
        }
    }

    private Map<String, Double> targetShares(String service, @Nullable Map<String, Double> demand) {
        double seconds = mTimes.meanMillis(service, mObjectiveMillis.get(service)) / 1000;
        Map<String, Double> slots = mBackends.slotsByRegion(service, seconds);
        return demand == null
                ? RegionSpillover.initialShares(mRegion, mBackends.zoneCountByRegion(), slots)
                : RegionSpillover.targetShares(mRegion, demand, slots, seconds);
    }

    /** Returns the share of this region's requests to a service that each region serves. */
    public Map<String, Double> regionShares(String service) {
        return mRegionShares.getOrDefault(service, Map.of());
    }

    /** Selects the server for a request. */
    public BalancerDecision choose(Request request, long nowNanos) {
        mServicesWithRequests.add(request.service());
        Candidates candidates = candidates(request, nowNanos);
        Map<String, List<Backend>> byRegion = candidates.byRegion();
        if (byRegion.isEmpty()) {
            return refuseWithoutCandidate(request.service(), candidates, nowNanos);
        }
        String region = chooseRegion(request, byRegion.keySet());
        Candidate best = leastCost(byRegion.get(region), request, nowNanos);
        double allowed = allowedWait(request, best.mServiceMillis, nowNanos);
        if (best.mWaitMillis > allowed) {
            long after = (long) (best.mWaitMillis - allowed) + MIN_RETRY_AFTER_MILLIS;
            return new BalancerDecision.Refuse(
                    BalancerDecision.Reason.OVERLOADED,
                    Math.min(after, MAX_RETRY_AFTER_MILLIS),
                    best.mWaitMillis,
                    allowed,
                    byRegion.get(region).size(),
                    candidates.limited().size());
        }
        return new BalancerDecision.Send(
                best.mBackend, best.mWaitMillis, best.mServiceMillis, best.mWarm);
    }

    private BalancerDecision refuseWithoutCandidate(
            String service, Candidates candidates, long nowNanos) {
        List<Backend> limited = candidates.limited();
        if (limited.isEmpty()) {
            long holdOff = TimeUnit.NANOSECONDS.toMillis(candidates.holdOffNanos());
            long after =
                    candidates.holdOffNanos() == Long.MAX_VALUE
                            ? MIN_RETRY_AFTER_MILLIS * 3
                            : Math.clamp(holdOff, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
            return new BalancerDecision.Refuse(
                    BalancerDecision.Reason.NO_SERVER, after, 0, 0, 0, 0);
        }
        return new BalancerDecision.Refuse(
                BalancerDecision.Reason.LIMITED,
                Math.clamp(
                        mRates.promisePermit(service, limited, nowNanos),
                        MIN_RETRY_AFTER_MILLIS,
                        MAX_RETRY_AFTER_MILLIS),
                0,
                0,
                0,
                limited.size());
    }

    private double allowedWait(Request request, double serviceMillis, long nowNanos) {
        Route route = request.route();
        double allowed =
                Math.max(
                        route.objectiveMillis() - serviceMillis,
                        MIN_WAIT_SHARE * route.objectiveMillis());
        int highestPriority = mHighestPriorities.getOrDefault(request.service(), route.priority());
        if (route.priority() > highestPriority) {
            allowed *= LOW_PRIORITY_WAIT_SHARE;
        }
        double remaining = (request.untilNanos() - nowNanos) / NANOS_PER_MILLI;
        return Math.min(allowed, remaining - serviceMillis / 2);
    }

    private Candidates candidates(Request request, long nowNanos) {
        Map<String, List<Backend>> byRegion = new TreeMap<>();
        List<Backend> limited = new ArrayList<>();
        long shortestHoldOff = Long.MAX_VALUE;
        int maxInFlight = mRates.maxConnections(request.service());
        for (Backend backend : mRankings.ranked(request.service(), request.objectKey())) {
            String region = mBackends.regionOf(backend.registration().zone());
            long holdOff = backend.holdOffNanos(nowNanos);
            if (holdOff > 0 && request.route().allowsRegion(region)) {
                shortestHoldOff = Math.min(shortestHoldOff, holdOff);
            }
            if (request.route().allowsRegion(region)
                    && !request.excluded().contains(backend.registration())
                    && backend.usable(nowNanos)
                    && backend.inFlight() < maxInFlight) {
                if (mRates.hasPermit(backend, request.service(), nowNanos)) {
                    byRegion.computeIfAbsent(region, r -> new ArrayList<>()).add(backend);
                } else if (backend.limited()) {
                    backend.recordPermitDenied();
                    limited.add(backend);
                }
            }
        }
        return new Candidates(byRegion, limited, shortestHoldOff);
    }

    /**
     * Selects a region according to the shares of the regions. With object affinity, all requests
     * for an object go to the same region; other requests are distributed by smooth weighted round
     * robin.
     */
    private String chooseRegion(Request request, Set<String> usable) {
        String service = request.service();
        Map<String, Double> shares = mRegionShares.getOrDefault(service, Map.of());
        if (request.route().affinity() && request.objectKey() != null) {
            Map<String, Double> usableShares = new TreeMap<>(shares);
            usableShares.keySet().retainAll(usable);
            String region = RendezvousHash.pickWeighted(request.objectKey(), usableShares);
            return region == null ? nearestRegion(usable) : region;
        }
        Map<String, Double> credits =
                mRoundRobinCredits.computeIfAbsent(service, s -> new HashMap<>());
        String best = null;
        double total = 0;
        for (String region : usable) {
            double share = shares.getOrDefault(region, 0.0);
            total += share;
            double credit = credits.merge(region, share, Double::sum);
            if (share > 0 && (best == null || credit > credits.get(best))) {
                best = region;
            }
        }
        if (best == null) {
            return nearestRegion(usable);
        }
        credits.merge(best, -total, Double::sum);
        return best;
    }

    private String nearestRegion(Set<String> usable) {
        return usable.contains(mRegion) ? mRegion : usable.iterator().next();
    }

    private Candidate leastCost(List<Backend> ordered, Request request, long nowNanos) {
        double service = mTimes.medianMillis(request.service(), request.route().objectiveMillis());
        boolean affinity = request.route().affinity() && request.objectKey() != null;
        int warmCount = affinity ? 1 : ordered.size();
        double coldFactor = mTimes.coldFactor(request.service());
        double missPenalty = service * (coldFactor - 1);
        Candidate best = null;
        for (int rank = 0; rank < ordered.size(); rank++) {
            Backend backend = ordered.get(rank);
            double slowness = backend.slowness(service, nowNanos);
            if (backend.cold(nowNanos)) {
                slowness *= COLD_SERVER_SLOWDOWN;
            }
            int slots = backend.registration().slots();
            double backlog = backend.expectedLoad(nowNanos) + 1 - slots;
            double miss =
                    rank < warmCount
                            ? 0
                            : missPenalty * (rank == warmCount ? SECOND_SERVER_MISS_RATE : 1);
            if (rank >= warmCount
                    && best != null
                    && backlog + slots > maxLoad(rank - warmCount, coldFactor) * slots) {
                continue;
            }
            double wait = Math.max(0, backlog) * service * slowness / slots;
            double work = (service + miss) * slowness;
            double crossing =
                    mDelay.millis(mRegion, mBackends.regionOf(backend.registration().zone()));
            // Prefers the server with more free slots, where queueing is less likely.
            double utilization = service * slowness * Math.max(0, backlog + slots) / slots / 4;
            double cost = wait + service * slowness + miss + crossing + utilization;
            if (best == null || cost < best.mCost) {
                best = new Candidate(backend, wait, work + crossing, rank < warmCount, cost);
            }
        }
        if (best == null) {
            throw new IllegalStateException("no candidate server");
        }
        return best;
    }

    private static double maxLoad(int rank, double coldFactor) {
        if (coldFactor < MIN_LIMITED_COLD_FACTOR) {
            return Double.MAX_VALUE;
        }
        return rank == 0 ? SECOND_SERVER_MAX_LOAD : OTHER_SERVERS_MAX_LOAD;
    }

    private static final class Candidate {
        private final Backend mBackend;
        private final double mWaitMillis;
        private final double mServiceMillis;
        private final boolean mWarm;
        private final double mCost;

        Candidate(
                Backend backend,
                double waitMillis,
                double serviceMillis,
                boolean warm,
                double cost) {
            mBackend = backend;
            mWaitMillis = waitMillis;
            mServiceMillis = serviceMillis;
            mWarm = warm;
            mCost = cost;
        }
    }
}
