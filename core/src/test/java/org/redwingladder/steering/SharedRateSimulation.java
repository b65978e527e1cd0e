package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.redwingladder.steering.SharedRateScenario.Faults;
import org.redwingladder.steering.SharedRateScenario.Variant;

/**
 * Simulates hosts that share the rate limit of one backend server, in virtual time, with random
 * gossip, lost messages, and hosts that are killed, restarted, paused, added and partitioned.
 */
final class SharedRateSimulation {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int ZONES = 6;
    private static final String SERVICE = "a";
    private static final ServerRegistration SERVER =
            new ServerRegistration("s", SERVICE, "10.0.0.1:80", "z0", 4, false, 1, 0);

    /** Wanted requests per second of each host, far more than its share. */
    private static final double DEMAND = 3;

    private static final long GOSSIP_PERIOD_MILLIS = 600;
    private static final long VIEW_TTL_NANOS = 200 * MILLI;
    private static final long RESPONSE_NANOS = 300 * MILLI;
    private static final int FANOUT = 5;
    private static final int SEEDS = 3;
    private static final long SEED_RETRY_NANOS = 150 * MILLI;
    private static final long START_GRACE_NANOS = 500 * MILLI;
    private static final long LIMIT_NAMED_NANOS = 10 * SECOND;
    private static final long FIRST_FAULT_NANOS = 12 * SECOND;
    private static final long LAST_FAULT_NANOS = 50 * SECOND;
    private static final long END_NANOS = 60 * SECOND;

    private final SplittableRandom mRandom;
    private final Variant mVariant;
    private final double mLimit;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.nanos() != b.nanos()
                                    ? Long.compare(a.nanos(), b.nanos())
                                    : Long.compare(a.number(), b.number()));
    private final List<Host> mHosts = new ArrayList<>();
    private final List<Long> mArrivals = new ArrayList<>();
    private final Set<String> mInformed = new HashSet<>();
    private long mNow;
    private long mNumber;
    private long mAllInformedNanos = Long.MAX_VALUE;

    private record Event(long nanos, long number, Runnable action) {}

    /** One incarnation of a host's process. */
    private final class Host {
        private final String mName;
        private final String mZone;
        private final long mStarted;
        private final GossipMembership mMembers;
        private final SenderSelector mSelector;
        private final ServerRateLimitTable mLimits;
        private final BackendSet mBackends = BackendSet.create(Map.of("z0", "r"));
        private final SharedServerRates mRates = new SharedServerRates(mBackends);
        private long mViewExpiresNanos;
        private long mNextEqualPartNanos;
        private long mPausedUntilNanos;
        private boolean mDown;
        private int mHalf;
        private long mBeats;

        Host(int number, long started) {
            mName = "h" + number;
            mZone = "z" + number % ZONES;
            mStarted = started;
            mMembers = GossipMembership.create(mName);
            mSelector = SenderSelector.create(mName);
            mLimits = ServerRateLimitTable.create(mName);
            mBackends.updateServices(Map.of(SERVICE, new ServiceSpec(SERVICE, 100, 0, 9)));
            mBackends.updateServers(List.of(SERVER), 0);
            mLimits.updateServers(List.of(SERVER), 0);
            mRates.shares(this::share);
        }

        HostState state() {
            return new HostState(
                    mName,
                    mStarted,
                    mBeats,
                    mZone,
                    mName,
                    mName,
                    true,
                    true,
                    1,
                    Map.of(SERVICE, DEMAND));
        }

        void beat() {
            mBeats++;
            mMembers.updateSelf(state(), mNow);
        }

        boolean runs() {
            return !mDown && mPausedUntilNanos <= mNow;
        }

        private SenderShare share(String service, String server, int maxSenders) {
            if (mNow >= mViewExpiresNanos) {
                updateView();
            }
            return mSelector.share(service, server, maxSenders);
        }

        void updateView() {
            mViewExpiresNanos = mNow + VIEW_TTL_NANOS;
            if (mVariant == Variant.NO_HANDOVER) {
                mSelector.updateHosts(
                        mMembers.alive(mNow), 1, mNow - 2 * SenderSelector.HANDOVER_NANOS);
                mSelector.updateHosts(mMembers.alive(mNow), 1, mNow);
            } else {
                mSelector.updateHosts(mMembers.alive(mNow), mMembers.reachableFraction(mNow), mNow);
            }
        }

        boolean mayRequest() {
            Backend backend = mBackends.usable(SERVICE).get(0);
            if (mVariant != Variant.EQUAL_PARTS || !backend.limited()) {
                return mRates.hasPermit(backend, SERVICE, mNow);
            }
            if (mNow < mNextEqualPartNanos) {
                return false;
            }
            mNextEqualPartNanos =
                    mNow
                            + (long)
                                    (SECOND
                                            * mMembers.budgetSharers(mNow)
                                            / backend.limitPerSecond());
            return true;
        }

        void request() {
            if (!mayRequest()) {
                return;
            }
            Backend backend = mBackends.usable(SERVICE).get(0);
            long sent = mNow;
            backend.recordSent(sent);
            mArrivals.add(sent);
            boolean named = sent >= LIMIT_NAMED_NANOS;
            after(
                    RESPONSE_NANOS,
                    () -> {
                        backend.recordEnd(SendResult.ANSWERED, sent, 300, mNow);
                        ServerRateLimit changed =
                                mLimits.recordAnswer(
                                        SERVER,
                                        named
                                                ? new RateLimitStatement.Limited(mLimit)
                                                : new RateLimitStatement.Unlimited(),
                                        sent,
                                        mNow);
                        if (changed != null) {
                            learned(List.of(changed));
                        }
                    });
        }

        private void learned(List<ServerRateLimit> limits) {
            mBackends.applyRateLimits(mLimits);
            mInformed.add(mName);
            if (mInformed.size() == mHosts.size() && mAllInformedNanos == Long.MAX_VALUE) {
                mAllInformedNanos = mNow;
            }
            for (int i = 0; i < FANOUT; i++) {
                Host receiver = mHosts.get(mRandom.nextInt(mHosts.size()));
                if (reaches(receiver)) {
                    after(
                            mRandom.nextLong(5 * MILLI, 80 * MILLI),
                            () -> receiver.mergeLimits(limits));
                }
            }
        }

        private void mergeLimits(List<ServerRateLimit> limits) {
            if (runs()) {
                List<ServerRateLimit> changed = mLimits.merge(limits, mNow);
                if (!changed.isEmpty()) {
                    learned(changed);
                }
            }
        }

        /** Returns whether a message arrives; one in ten is lost. */
        private boolean reaches(Host other) {
            return other.runs() && mHalf == other.mHalf && mRandom.nextInt(10) > 0;
        }

        void gossip(String zone) {
            HostState peer =
                    mMembers.selectGossipPeer(zone, mNow, new java.util.Random(mRandom.nextLong()));
            if (peer != null) {
                exchange(current(peer.name()));
            }
        }

        private void exchange(Host other) {
            if (other != this && reaches(other)) {
                List<HostState> sent = mMembers.recentStates(mNow);
                other.mMembers.merge(sent, mNow);
                mMembers.merge(other.mMembers.recentStatesNewerThan(sent, mNow), mNow);
                if (mLimits.digest() != other.mLimits.digest()) {
                    mergeLimits(other.mLimits.registered());
                    other.mergeLimits(mLimits.registered());
                }
            }
        }
    }

    private SharedRateSimulation(long seed, Variant variant, double limit) {
        mRandom = new SplittableRandom(seed);
        mVariant = variant;
        mLimit = limit;
    }

    /**
     * The requests that reached the server.
     *
     * @param mostInWindow the most arrivals in any 4 s that start 4 s after the limit was named
     * @param perSecond the mean rate from then on
     * @param allInformedMillis how long after the limit was named all hosts knew it; negative if
     *     they never did
     */
    record Result(long mostInWindow, double perSecond, long allInformedMillis) {}

    static Result run(long seed, int hosts, double limit, Faults faults, Variant variant) {
        SharedRateSimulation simulation = new SharedRateSimulation(seed, variant, limit);
        simulation.run(hosts, faults);
        return simulation.result();
    }

    private void after(long nanos, Runnable action) {
        mEvents.add(new Event(mNow + nanos, mNumber++, action));
    }

    private Host current(String name) {
        return mHosts.get(Integer.parseInt(name.substring(1)));
    }

    private void run(int hosts, Faults faults) {
        for (int i = 0; i < hosts; i++) {
            mHosts.add(new Host(i, 1));
        }
        mHosts.forEach(Host::beat);
        for (Host host : mHosts) {
            mHosts.forEach(other -> host.mMembers.merge(List.of(other.state()), 0));
            start(host);
        }
        switch (faults) {
            case NONE -> {}
            case HOSTS -> after(FIRST_FAULT_NANOS, this::injectHostFault);
            case PARTITION -> {
                after(FIRST_FAULT_NANOS, () -> split(true));
                after(LAST_FAULT_NANOS, () -> split(false));
            }
            default -> throw new IllegalArgumentException("unknown faults " + faults);
        }
        while (mNow < END_NANOS) {
            Event event = mEvents.remove();
            mNow = event.nanos();
            event.action().run();
        }
    }

    private void start(Host host) {
        after(mRandom.nextLong(GOSSIP_PERIOD_MILLIS * MILLI), () -> runRound(host, 1));
        scheduleRequest(host);
    }

    private void runRound(Host host, long number) {
        if (current(host.mName) != host || host.mDown) {
            return;
        }
        if (host.mPausedUntilNanos > mNow) {
            after(host.mPausedUntilNanos - mNow, () -> runRound(host, number));
            return;
        }
        host.beat();
        host.updateView();
        host.gossip(host.mZone);
        if (number % 2 == 0) {
            host.gossip(null);
        }
        long millis = GOSSIP_PERIOD_MILLIS * 7 / 8 + mRandom.nextLong(GOSSIP_PERIOD_MILLIS / 4);
        after(millis * MILLI, () -> runRound(host, number + 1));
    }

    private void scheduleRequest(Host host) {
        double seconds = -Math.log(1 - mRandom.nextDouble()) / DEMAND;
        after(
                (long) (seconds * SECOND),
                () -> {
                    if (current(host.mName) == host && !host.mDown) {
                        long wait = Math.max(0, host.mPausedUntilNanos - mNow);
                        // The requests that arrive during a pause are handled together after it.
                        after(wait, host::request);
                        scheduleRequest(host);
                    }
                });
    }

    private void split(boolean split) {
        for (int i = 0; i < mHosts.size(); i++) {
            mHosts.get(i).mHalf = split ? i % 2 : 0;
        }
    }

    private void injectHostFault() {
        if (mNow > LAST_FAULT_NANOS) {
            return;
        }
        int number = mRandom.nextInt(mHosts.size());
        Host host = mHosts.get(number);
        switch (mRandom.nextInt(3)) {
            case 0 -> host.mPausedUntilNanos = mNow + mRandom.nextLong(SECOND, 6 * SECOND);
            case 1 -> {
                host.mDown = true;
                after(mRandom.nextLong(6 * SECOND), () -> restart(number));
            }
            default -> {
                Host added = new Host(mHosts.size(), 1);
                mHosts.add(added);
                join(added);
            }
        }
        // Faults overlap: they last longer than the time between them.
        after(mRandom.nextLong(4 * SECOND), this::injectHostFault);
    }

    private void restart(int number) {
        Host old = mHosts.get(number);
        if (old.mDown) {
            Host host = new Host(number, old.mStarted + 1);
            mHosts.set(number, host);
            join(host);
        }
    }

    /** Starts a host that has read the registrations of the others. */
    private void join(Host host) {
        host.beat();
        for (Host other : mHosts) {
            if (other != host) {
                host.mMembers.addRegistered(other.state());
            }
        }
        host.mMembers.recordRegistrationsRead();
        contactSeeds(host, mNow + START_GRACE_NANOS);
    }

    /** Requests arrive when a host has heard of the others or has waited for long enough. */
    private void contactSeeds(Host host, long until) {
        for (int i = 0; i < SEEDS; i++) {
            host.exchange(mHosts.get(mRandom.nextInt(mHosts.size())));
        }
        if (host.mMembers.alive(mNow).size() > 1 || mNow >= until) {
            start(host);
        } else {
            after(SEED_RETRY_NANOS, () -> contactSeeds(host, until));
        }
    }

    private Result result() {
        long from = LIMIT_NAMED_NANOS + 4 * SECOND;
        List<Long> counted = mArrivals.stream().filter(nanos -> nanos >= from).toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(last) - counted.get(first) >= 4 * SECOND) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        double seconds = (END_NANOS - from) / (double) SECOND;
        long informed =
                mAllInformedNanos == Long.MAX_VALUE
                        ? -1
                        : (mAllInformedNanos - LIMIT_NAMED_NANOS) / MILLI;
        return new Result(most, counted.size() / seconds, informed);
    }
}
