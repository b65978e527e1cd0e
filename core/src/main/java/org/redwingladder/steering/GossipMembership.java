package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Membership and failure detection of entry hosts by gossip.
 *
 * <p>Each host increments its own heartbeat counter, and the counters spread by exchanges between
 * pairs of hosts. A host whose counter has not increased for {@link #HEARTBEAT_TIMEOUT_NANOS} is
 * considered failed. Hosts do not agree on the membership by consensus: it only decides which hosts
 * look-ups return and how many hosts share a budget. Not thread-safe.
 */
public final class GossipMembership {
    /** Time without a new heartbeat after which a host is considered failed. */
    public static final long HEARTBEAT_TIMEOUT_NANOS = 3_000_000_000L;

    /** Time after which a host is removed that was not serving when it fell silent. */
    private static final long STOPPED_REMOVAL_NANOS = 60_000_000_000L;

    /**
     * Time without a new heartbeat after which any other host is removed. Regions lose each other
     * for up to an hour; hosts that forgot the other region would never contact it again.
     */
    private static final long FAILED_REMOVAL_NANOS = 7_200_000_000_000L;

    /**
     * Time without a new heartbeat for which a host still counts as sharing the budgets, since it
     * may still send requests.
     */
    private static final long BUDGET_SHARING_TIMEOUT_NANOS = 15_000_000_000L;

    private final String mSelf;
    private final Map<String, KnownHost> mKnownHosts = new HashMap<>();
    private boolean mOthersKnown;

    private static final class KnownHost {
        private HostState mState;
        private long mHeartbeatNanos;
        private boolean mHeartbeatReceived;

        KnownHost(HostState state) {
            mState = state;
        }
    }

    private GossipMembership(String self) {
        mSelf = self;
    }

    /** Creates the membership of the host named {@code self}, without other hosts. */
    public static GossipMembership create(String self) {
        return new GossipMembership(self);
    }

    /** Updates the state of this host. */
    public void updateSelf(HostState state, long nowNanos) {
        recordHeartbeat(state, nowNanos);
    }

    /** Merges states that another host forwarded; newer states replace older ones. */
    public void merge(Collection<HostState> states, long nowNanos) {
        for (HostState state : states) {
            if (!state.name().equals(mSelf)) {
                recordHeartbeat(state, nowNanos);
                mOthersKnown = true;
            }
        }
    }

    /** Records that all registered hosts were added, even if there are no others. */
    public void recordRegistrationsRead() {
        mOthersKnown = true;
    }

    /** Adds a host known only from its registration; it is not alive before its first heartbeat. */
    public void addRegistered(HostState state) {
        KnownHost host = mKnownHosts.get(state.name());
        if (host == null) {
            mKnownHosts.put(state.name(), new KnownHost(state));
        } else if (state.startedMillis() > host.mState.startedMillis()) {
            host.mState = state;
            host.mHeartbeatReceived = false;
        }
    }

    private void recordHeartbeat(HostState state, long nowNanos) {
        KnownHost host = mKnownHosts.get(state.name());
        if (host == null) {
            host = new KnownHost(state);
            mKnownHosts.put(state.name(), host);
        } else if (!state.newerThan(host.mState)) {
            return;
        }
        host.mState = state;
        host.mHeartbeatNanos = nowNanos;
        host.mHeartbeatReceived = true;
    }

    /** Removes hosts without a heartbeat for a long time. */
    public void removeExpired(long nowNanos) {
        mKnownHosts
                .values()
                .removeIf(
                        host ->
                                host.mHeartbeatReceived
                                        && nowNanos - host.mHeartbeatNanos
                                                > (host.mState.serving()
                                                        ? FAILED_REMOVAL_NANOS
                                                        : STOPPED_REMOVAL_NANOS));
    }

    /**
     * Returns the fraction of the known hosts that are alive. Hosts that stopped as planned do not
     * count. A host that is cut off from others may still reach the same servers as they do, so
     * that the fractions of all parts of a partition add up to 1. Returns 0 while this host cannot
     * know how many others there are.
     */
    public double reachableFraction(long nowNanos) {
        if (!mOthersKnown) {
            return 0;
        }
        int alive = 0;
        int known = 0;
        for (KnownHost host : mKnownHosts.values()) {
            if (alive(host, nowNanos)) {
                alive++;
                known++;
            } else if (host.mState.serving() || !host.mHeartbeatReceived) {
                known++;
            }
        }
        return (double) alive / Math.max(1, known);
    }

    /** Returns the states of all hosts with a recent heartbeat, to send to other hosts. */
    public List<HostState> recentStates(long nowNanos) {
        List<HostState> states = new ArrayList<>();
        for (KnownHost host : mKnownHosts.values()) {
            if (host.mHeartbeatReceived
                    && nowNanos - host.mHeartbeatNanos <= BUDGET_SHARING_TIMEOUT_NANOS) {
                states.add(host.mState);
            }
        }
        return states;
    }

    /** Returns the recent states that are missing from or newer than those that a host sent. */
    public List<HostState> recentStatesNewerThan(Collection<HostState> sent, long nowNanos) {
        Map<String, HostState> known = new HashMap<>();
        sent.forEach(state -> known.put(state.name(), state));
        List<HostState> newer = new ArrayList<>();
        for (HostState state : recentStates(nowNanos)) {
            HostState theirs = known.get(state.name());
            if (theirs == null || state.newerThan(theirs)) {
                newer.add(state);
            }
        }
        return newer;
    }

    /** Returns the hosts that are alive, including this one. */
    public List<HostState> alive(long nowNanos) {
        List<HostState> alive = new ArrayList<>();
        for (KnownHost host : mKnownHosts.values()) {
            if (alive(host, nowNanos)) {
                alive.add(host.mState);
            }
        }
        return alive;
    }

    private boolean alive(KnownHost host, long nowNanos) {
        return host.mState.name().equals(mSelf)
                || (host.mHeartbeatReceived
                        && nowNanos - host.mHeartbeatNanos <= HEARTBEAT_TIMEOUT_NANOS);
    }

    /** Returns the number of hosts that share the budgets, including failed ones; at least 1. */
    public int budgetSharers(long nowNanos) {
        int count = 0;
        for (KnownHost host : mKnownHosts.values()) {
            if (host.mHeartbeatReceived
                    && nowNanos - host.mHeartbeatNanos <= BUDGET_SHARING_TIMEOUT_NANOS) {
                count++;
            }
        }
        return Math.max(1, count);
    }

    /**
     * Returns a random host to exchange states with, or null if none is known.
     *
     * @param zone the zone of the host, or null for any zone
     */
    public @Nullable HostState selectGossipPeer(
            @Nullable String zone, long nowNanos, RandomGenerator random) {
        List<HostState> alive = new ArrayList<>();
        List<HostState> failed = new ArrayList<>();
        for (KnownHost host : mKnownHosts.values()) {
            HostState state = host.mState;
            if (!state.name().equals(mSelf) && (zone == null || zone.equals(state.zone()))) {
                (alive(host, nowNanos) ? alive : failed).add(state);
            }
        }
        // Occasionally selects a failed host, so that the end of a network partition is detected.
        boolean tryFailed = alive.isEmpty() || (!failed.isEmpty() && random.nextInt(8) == 0);
        List<HostState> candidates = tryFailed ? failed : alive;
        return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
    }

    /** Returns the request rate of all hosts that are alive, by service and region. */
    public Map<String, Map<String, Double>> demandByServiceAndRegion(
            Map<String, String> regionOfZone, long nowNanos) {
        Map<String, Map<String, Double>> demand = new HashMap<>();
        for (HostState host : alive(nowNanos)) {
            String region = regionOfZone.get(host.zone());
            if (region != null) {
                host.demand()
                        .forEach(
                                (service, rate) ->
                                        demand.computeIfAbsent(service, s -> new HashMap<>())
                                                .merge(region, rate, Double::sum));
            }
        }
        return demand;
    }
}
