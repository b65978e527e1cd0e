package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.redwingladder.routing.WorkClass;

/** Holds the fake of one service of a deployment during one run. */
final class PolicyWorld {
    static final double SECOND = 1e9;

    final PolicyEvents mEvents = new PolicyEvents();
    final PolicyDeployment mDeployment;
    final PolicyDeployment.Service mService;
    final List<PolicyServer> mServers = new ArrayList<>();
    final List<PolicyRequest> mRequests = new ArrayList<>();
    final long mSeed;

    /** The region that is lost, or -1. */
    int mLostRegion = -1;

    /** When each site sent requests to its backend servers. */
    final Map<Integer, List<Long>> mSends = new TreeMap<>();

    /** The cap of each site in requests a second, if it has one. */
    final Map<Integer, Long> mCaps = new TreeMap<>();

    private final List<List<PolicyServer>> mByRegion = new ArrayList<>();

    /** How many requests were sent to a site or server, over entry hosts. */
    long mAttempts;

    /** How many hedges and probes were sent. */
    long mExtraRuns;

    /** How often each reason ended or delayed a request. */
    final Map<String, Integer> mReasons = new TreeMap<>();

    PolicyWorld(PolicyDeployment deployment, PolicyDeployment.Service service, long seed) {
        mDeployment = deployment;
        mService = service;
        mSeed = seed;
        deployment.regions().forEach(region -> mByRegion.add(new ArrayList<>()));
        for (int i = 0; i < service.servers(); i++) {
            int zone = i % deployment.zones().size();
            String name = service.name() + "-" + i;
            PolicyServer server = new PolicyServer(mEvents, name, zone, service.slots());
            mServers.add(server);
            mByRegion.get(deployment.regionOf(zone)).add(server);
        }
    }

    int slots() {
        return mServers.size() * mService.slots();
    }

    /** Returns the backend servers of a zone's region. */
    List<PolicyServer> near(int zone) {
        List<PolicyServer> near = mByRegion.get(mDeployment.regionOf(zone));
        return near.stream().allMatch(server -> server.mPresent)
                ? near
                : near.stream().filter(server -> server.mPresent).toList();
    }

    long now() {
        return mEvents.now();
    }

    /** Plans all requests; their seed is the run's, so that each policy meets the same ones. */
    void plan(PolicyWorkload workload, PolicyRouter router) {
        Random random = new Random(mSeed);
        plan(workload, workload.shortLoad(), WorkClass.SHORT, random, router);
        plan(workload, workload.longLoad(), WorkClass.LONG, new Random(mSeed + 1), router);
    }

    private void plan(
            PolicyWorkload workload,
            DoubleUnaryOperator load,
            WorkClass workClass,
            Random random,
            PolicyRouter router) {
        boolean isShort = workClass == WorkClass.SHORT;
        double mean = isShort ? PolicyWorkload.SHORT_NANOS : PolicyWorkload.LONG_NANOS;
        long patience =
                isShort ? PolicyWorkload.SHORT_DEADLINE_NANOS : PolicyWorkload.LONG_DEADLINE_NANOS;
        double step = 0.001;
        for (double t = 0; t < workload.seconds(); t += step) {
            double expected = load.applyAsDouble(t) * slots() * step * SECOND / mean;
            int arrivals = poisson(expected, random);
            for (int i = 0; i < arrivals; i++) {
                long sent = (long) ((t + step * random.nextDouble()) * SECOND);
                int zone = workload.zone(random);
                int host = zone * PolicyWorkload.HOSTS_PER_ZONE + random.nextInt(4);
                boolean idempotent = random.nextDouble() < mService.idempotent();
                double work = PolicyWorkload.work(workClass, random);
                PolicyRequest request =
                        new PolicyRequest(
                                (isShort ? 0 : 1L << 40) + mRequests.size(),
                                zone,
                                host,
                                workClass,
                                idempotent,
                                work,
                                sent,
                                sent + patience);
                mRequests.add(request);
                mEvents.at(sent + PolicyDeployment.CLIENT_NANOS, () -> arrived(request, router));
            }
        }
    }

    /** Takes a request to its entry host, or to one of another region if its own is lost. */
    private void arrived(PolicyRequest request, PolicyRouter router) {
        if (mDeployment.regionOf(request.mZone) != mLostRegion) {
            router.arrived(request);
            return;
        }
        int others = mDeployment.zones().size() - 2;
        request.mZone = 2 + (int) (request.mId % others);
        request.mHost =
                request.mZone * PolicyWorkload.HOSTS_PER_ZONE
                        + (int) (request.mId / others % PolicyWorkload.HOSTS_PER_ZONE);
        request.mDetourNanos = mDeployment.regionNanos();
        mEvents.after(request.mDetourNanos, () -> router.arrived(request));
    }

    private static int poisson(double mean, Random random) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double p = random.nextDouble(); p > limit; p *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    /** Lets {@code share} of the servers, others from spell to spell, be slow at all times. */
    void planStragglers(double share, double factor, double seconds) {
        Random random = new Random(mSeed + 2);
        int count = (int) Math.round(share * mServers.size());
        for (int i = 0; i < count; i++) {
            straggle(random, factor, (long) (seconds * SECOND));
        }
    }

    private void straggle(Random random, double factor, long endNanos) {
        if (now() >= endNanos) {
            return;
        }
        PolicyServer server = mServers.get(random.nextInt(mServers.size()));
        while (server.slowFactor() > 1) {
            server = mServers.get(random.nextInt(mServers.size()));
        }
        PolicyServer slow = server;
        slow.slow(factor);
        mEvents.after(
                (long) ((1 + 4 * random.nextDouble()) * SECOND),
                () -> {
                    slow.slow(1);
                    straggle(random, factor, endNanos);
                });
    }

    void count(String reason) {
        mReasons.merge(reason, 1, Integer::sum);
    }

    /** Notes an answer that reaches the client after {@code delayNanos}. */
    void answered(PolicyRequest request, long delayNanos) {
        if (!request.decided()) {
            request.mAnsweredNanos = now() + delayNanos + request.mDetourNanos;
        }
    }

    /** Notes a refusal that reaches the client after {@code delayNanos}. */
    void refused(PolicyRequest request, long delayNanos) {
        if (!request.decided()) {
            request.mRefusedNanos = now() + delayNanos + request.mDetourNanos;
        }
    }
}
