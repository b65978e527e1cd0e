package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the backend server of a request, or refuses the request.
 *
 * <p>Answers three loads. Requests for the same object go to a few servers, the same for all hosts,
 * so that the servers work warm. Regions with more demand than servers hand a slowly moving part to
 * the others. What would wait longer than is useful to its client is refused at once, so that the
 * queues stay short and what is admitted is answered in time. Not thread-safe.
 */
public final class Placer {
    /** The hosts that feed one cold server. Few hosts waste less of the rate on rounding. */
    public static final int COLD_FEEDERS = 3;

    /**
     * The part of the extra work for an unknown object that is expected at an object's second
     * server: what the first one has no room for always goes there, so that it often knows the
     * object.
     */
    private static final double SECOND_SERVER = 0.5;

    /** The load up to which an object's second server takes what the first has no room for. */
    private static final double SECOND_LOAD = 0.75;

    /**
     * The load, as a part of the slots, up to which a server takes requests for objects that it
     * does not know. Such work takes several times longer; under load it would push out the work
     * that fits, and servers would learn ever more objects without keeping any.
     */
    private static final double SPILL_LOAD = 0.5;

    /** Below this factor an unknown object costs too little to keep requests from free servers. */
    private static final double NOTABLE_COLD_FACTOR = 1.3;

    /** Work of a server that has just started, as a multiple of the usual time. */
    private static final double COLD_SERVER = 2;

    /** The part of the objective that a request may always wait, even if it will be late. */
    private static final double MIN_WAIT = 0.35;

    /** The part of the wait that the less urgent requests of a shared service may use. */
    private static final double LESS_URGENT_WAIT = 0.5;

    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 2000;
    private static final int MAX_CACHED_ORDERS = 4096;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long STEP_NANOS = 1_000_000_000L;

    /** The part of a region's requests that may change its region in one step of a second. */
    private static final double REGION_STEP = 0.04;

    private final String mRegion;
    private final BackendSet mBackends;
    private final ServiceTimes mTimes;
    private final CrossRegionDelay mDelay;
    private final Map<String, Map<String, Double>> mParts = new HashMap<>();
    private final Map<String, Map<String, Double>> mCredits = new HashMap<>();
    private final Map<String, List<Backend>> mOrders =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, List<Backend>> eldest) {
                    return size() > MAX_CACHED_ORDERS;
                }
            };
    private long mOrdersOf = -1;
    private long mPartsNanos;
    private final Set<String> mPlaced = new HashSet<>();
    private Map<String, Integer> mMostUrgent = Map.of();
    private Map<String, Long> mObjectives = Map.of();
    private Feeders mFeeders = server -> true;

    /** Tells how much longer a request takes that is served in another region. */
    public interface CrossRegionDelay {
        /** Returns the extra time of a round trip in milliseconds. */
        double millis(String fromRegion, String toRegion);
    }

    /** Tells whether this host is one of the few that send to a cold server. */
    public interface Feeders {
        /** Returns whether this host may send to the server while it is cold. */
        boolean feeds(String serverId);
    }

    /**
     * Describes what is to be placed.
     *
     * @param route the request's route
     * @param service the service that was chosen for it
     * @param objectKey names the object that the request concerns, null if unknown
     * @param excluded servers that have had the request
     * @param untilNanos the instant at which an answer is of no use any more
     */
    public record Request(
            Route route,
            String service,
            @Nullable String objectKey,
            Set<Backend> excluded,
            long untilNanos) {}

    private Placer(String region, BackendSet backends, ServiceTimes times, CrossRegionDelay delay) {
        mRegion = region;
        mBackends = backends;
        mTimes = times;
        mDelay = delay;
    }

    /** Creates a placer for a host in {@code region}. */
    public static Placer create(
            String region, BackendSet backends, ServiceTimes times, CrossRegionDelay delay) {
        return new Placer(region, backends, times, delay);
    }

    /** Sets which hosts feed cold servers. */
    public void feeders(Feeders feeders) {
        mFeeders = feeders;
    }

    /** Takes over the routes, from which the priorities and objectives of services follow. */
    public void routes(List<Route> routes) {
        Map<String, Integer> urgent = new HashMap<>();
        Map<String, Long> objectives = new HashMap<>();
        for (Route route : routes) {
            for (Destination destination : route.destinations()) {
                urgent.merge(destination.service(), route.priority(), Math::min);
                objectives.merge(destination.service(), route.objectiveMillis(), Math::max);
            }
        }
        mMostUrgent = urgent;
        mObjectives = objectives;
    }

    /**
     * Moves the parts of the regions towards their targets; called about once a second.
     *
     * @param demand requests a second by service and region, as the hosts report them
     */
    public void plan(Map<String, Map<String, Double>> demand, long nowNanos) {
        double step = REGION_STEP * (nowNanos - mPartsNanos) / STEP_NANOS;
        mPartsNanos = nowNanos;
        for (String service : mMostUrgent.keySet()) {
            Map<String, Double> target = target(service, demand.get(service));
            Map<String, Double> now = mParts.get(service);
            if (!target.isEmpty()) {
                // Clients notice a jump only if this host has served them by the parts before.
                boolean jump = now == null || !mPlaced.contains(service);
                mParts.put(service, jump ? target : RegionPlan.move(now, target, step));
            }
        }
    }

    private Map<String, Double> target(String service, @Nullable Map<String, Double> demand) {
        Map<String, Double> slots = mBackends.slotsByRegion(service);
        return demand == null
                ? RegionPlan.start(mRegion, mBackends.zonesByRegion(), slots)
                : RegionPlan.target(
                        mRegion,
                        demand,
                        slots,
                        mTimes.meanMillis(service, mObjectives.get(service)) / 1000);
    }

    /** Returns the parts of the regions that serve a service's requests. */
    public Map<String, Double> parts(String service) {
        return mParts.getOrDefault(service, Map.of());
    }

    /** Chooses the server of a request. */
    public Placement place(Request request, long nowNanos) {
        mPlaced.add(request.service());
        Map<String, List<Backend>> byRegion = candidates(request, nowNanos);
        if (byRegion.isEmpty()) {
            return new Placement.Refuse(
                    Placement.Reason.NO_SERVER, MIN_RETRY_AFTER_MILLIS * 3, 0, 0, 0);
        }
        String region = region(request, byRegion.keySet());
        Choice best = best(byRegion.get(region), request, nowNanos);
        double allowed = allowedWait(request, best.mServiceMillis, nowNanos);
        if (best.mWaitMillis > allowed) {
            long after = (long) (best.mWaitMillis - allowed) + MIN_RETRY_AFTER_MILLIS;
            return new Placement.Refuse(
                    Placement.Reason.OVERLOADED,
                    Math.min(after, MAX_RETRY_AFTER_MILLIS),
                    best.mWaitMillis,
                    allowed,
                    byRegion.get(region).size());
        }
        if (best.mBackend.cold(nowNanos)) {
            best.mBackend.coldGate().tryPass(coldRate(request.service()), nowNanos);
        }
        return new Placement.Send(best.mBackend, best.mWaitMillis, best.mServiceMillis, best.mWarm);
    }

    private double allowedWait(Request request, double serviceMillis, long nowNanos) {
        Route route = request.route();
        double useful =
                Math.max(
                        route.objectiveMillis() - serviceMillis,
                        MIN_WAIT * route.objectiveMillis());
        int urgent = mMostUrgent.getOrDefault(request.service(), route.priority());
        if (route.priority() > urgent) {
            useful *= LESS_URGENT_WAIT;
        }
        double left = (request.untilNanos() - nowNanos) / NANOS_PER_MILLI;
        return Math.min(useful, left - serviceMillis / 2);
    }

    private Map<String, List<Backend>> candidates(Request request, long nowNanos) {
        Map<String, List<Backend>> byRegion = new TreeMap<>();
        for (Backend backend : ordered(request.service(), request.objectKey())) {
            String region = mBackends.region(backend.entry().zone());
            if (request.route().allowsRegion(region)
                    && !request.excluded().contains(backend)
                    && backend.usable(nowNanos)
                    && admitsCold(backend, request.service(), nowNanos)) {
                byRegion.computeIfAbsent(region, r -> new ArrayList<>()).add(backend);
            }
        }
        return byRegion;
    }

    private boolean admitsCold(Backend backend, String service, long nowNanos) {
        return !backend.cold(nowNanos)
                || (mFeeders.feeds(backend.entry().id())
                        && backend.coldGate().open(coldRate(service), nowNanos));
    }

    private double coldRate(String service) {
        ServiceSpec spec = mBackends.service(service);
        return spec == null ? 0 : spec.coldRequestsPerSecond();
    }

    /** Returns the usable servers of a service, those that know the object first. */
    private List<Backend> ordered(String service, @Nullable String key) {
        if (mOrdersOf != mBackends.changes()) {
            mOrders.clear();
            mOrdersOf = mBackends.changes();
        }
        if (key == null) {
            return mBackends.usable(service);
        }
        return mOrders.computeIfAbsent(service + ' ' + key, k -> order(service, key));
    }

    private List<Backend> order(String service, String key) {
        Map<String, Backend> byId = new HashMap<>();
        for (Backend backend : mBackends.usable(service)) {
            byId.put(backend.entry().id(), backend);
        }
        List<Backend> ordered = new ArrayList<>();
        for (String id : Rendezvous.order(key, byId.keySet())) {
            ordered.add(byId.get(id));
        }
        return ordered;
    }

    /**
     * Chooses the region, so that each keeps its part. All requests for an object go to the same
     * region; the others go by smooth weighted round robin.
     */
    private String region(Request request, Set<String> usable) {
        String service = request.service();
        Map<String, Double> parts = mParts.getOrDefault(service, Map.of());
        if (request.route().affinity() && request.objectKey() != null) {
            Map<String, Double> shares = new TreeMap<>(parts);
            shares.keySet().retainAll(usable);
            String region = Rendezvous.weighted(request.objectKey(), shares);
            return region == null ? nearest(usable) : region;
        }
        Map<String, Double> credits = mCredits.computeIfAbsent(service, s -> new HashMap<>());
        String best = null;
        double total = 0;
        for (String region : usable) {
            double part = parts.getOrDefault(region, 0.0);
            total += part;
            double credit = credits.merge(region, part, Double::sum);
            if (part > 0 && (best == null || credit > credits.get(best))) {
                best = region;
            }
        }
        if (best == null) {
            return nearest(usable);
        }
        credits.merge(best, -total, Double::sum);
        return best;
    }

    private String nearest(Set<String> usable) {
        return usable.contains(mRegion) ? mRegion : usable.iterator().next();
    }

    private Choice best(List<Backend> ordered, Request request, long nowNanos) {
        double service = mTimes.millis(request.service(), request.route().objectiveMillis());
        boolean affinity = request.route().affinity() && request.objectKey() != null;
        int warm = affinity ? 1 : ordered.size();
        double coldFactor = mTimes.coldFactor(request.service());
        double coldObject = service * (coldFactor - 1);
        Choice best = null;
        for (int rank = 0; rank < ordered.size(); rank++) {
            Backend backend = ordered.get(rank);
            double slowness = backend.slowness(service, nowNanos);
            if (backend.cold(nowNanos)) {
                slowness *= COLD_SERVER;
            }
            int slots = backend.entry().slots();
            double ahead = backend.expectedLoad(nowNanos) + 1 - slots;
            double unknown = rank < warm ? 0 : coldObject * (rank == warm ? SECOND_SERVER : 1);
            if (rank >= warm
                    && best != null
                    && ahead + slots > spillLoad(rank - warm, coldFactor) * slots) {
                continue;
            }
            double wait = Math.max(0, ahead) * service * slowness / slots;
            double work = (service + unknown) * slowness;
            double crossing = mDelay.millis(mRegion, mBackends.region(backend.entry().zone()));
            // Among idle servers the one with more free slots is less likely to be found busy.
            double crowd = service * slowness * Math.max(0, ahead + slots) / slots / 4;
            double cost = wait + service * slowness + unknown + crossing + crowd;
            if (best == null || cost < best.mCost) {
                best = new Choice(backend, wait, work + crossing, rank < warm, cost);
            }
        }
        if (best == null) {
            throw new IllegalStateException("no candidates");
        }
        return best;
    }

    private static double spillLoad(int rank, double coldFactor) {
        if (coldFactor < NOTABLE_COLD_FACTOR) {
            return Double.MAX_VALUE;
        }
        return rank == 0 ? SECOND_LOAD : SPILL_LOAD;
    }

    private static final class Choice {
        private final Backend mBackend;
        private final double mWaitMillis;
        private final double mServiceMillis;
        private final boolean mWarm;
        private final double mCost;

        Choice(
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
