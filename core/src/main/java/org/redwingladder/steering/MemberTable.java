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
 * pairs of hosts. A host whose counter has not increased for {@link #SILENT_NANOS} is considered
 * failed. Hosts do not agree on the membership by consensus: it only decides which hosts look-ups
 * return and how many hosts share a budget. Not thread-safe.
 */
public final class MemberTable {
    /** Time without a new heartbeat after which a host is considered failed. */
    public static final long SILENT_NANOS = 3_000_000_000L;

    /** Time without a new heartbeat after which a host is removed. */
    private static final long FORGET_NANOS = 60_000_000_000L;

    /**
     * Time without a new heartbeat for which a host still counts as sharing the budgets, since it
     * may still send requests.
     */
    private static final long COUNTED_NANOS = 15_000_000_000L;

    private final String mSelf;
    private final Map<String, Seen> mSeen = new HashMap<>();

    private static final class Seen {
        private HostEntry mEntry;
        private long mHeardNanos;
        private boolean mHeard;

        Seen(HostEntry state) {
            mEntry = state;
        }
    }

    private MemberTable(String self) {
        mSelf = self;
    }

    /** Creates the membership of the host named {@code self}, without other hosts. */
    public static MemberTable create(String self) {
        return new MemberTable(self);
    }

    /** Updates the state of this host. */
    public void self(HostEntry state, long nowNanos) {
        heard(state, nowNanos);
    }

    /** Merges states that another host forwarded; newer states replace older ones. */
    public void merge(Collection<HostEntry> states, long nowNanos) {
        for (HostEntry state : states) {
            if (!state.name().equals(mSelf)) {
                heard(state, nowNanos);
            }
        }
    }

    /** Adds a host known only from its registration; it is not alive before its first heartbeat. */
    public void registered(HostEntry state) {
        Seen host = mSeen.get(state.name());
        if (host == null) {
            mSeen.put(state.name(), new Seen(state));
        } else if (state.startedMillis() > host.mEntry.startedMillis()) {
            host.mEntry = state;
            host.mHeard = false;
        }
    }

    private void heard(HostEntry state, long nowNanos) {
        Seen host = mSeen.get(state.name());
        if (host == null) {
            host = new Seen(state);
            mSeen.put(state.name(), host);
        } else if (!state.newerThan(host.mEntry)) {
            return;
        }
        host.mEntry = state;
        host.mHeardNanos = nowNanos;
        host.mHeard = true;
    }

    /** Removes hosts without a heartbeat for a long time. */
    public void expire(long nowNanos) {
        mSeen.values().removeIf(host -> host.mHeard && nowNanos - host.mHeardNanos > FORGET_NANOS);
    }

    /** Returns the states of all hosts with a recent heartbeat, to send to other hosts. */
    public List<HostEntry> entries(long nowNanos) {
        List<HostEntry> states = new ArrayList<>();
        for (Seen host : mSeen.values()) {
            if (host.mHeard && nowNanos - host.mHeardNanos <= COUNTED_NANOS) {
                states.add(host.mEntry);
            }
        }
        return states;
    }

    /** Returns the recent states that are missing from or newer than those that a host sent. */
    public List<HostEntry> entriesBeyond(Collection<HostEntry> sent, long nowNanos) {
        Map<String, HostEntry> known = new HashMap<>();
        sent.forEach(state -> known.put(state.name(), state));
        List<HostEntry> newer = new ArrayList<>();
        for (HostEntry state : entries(nowNanos)) {
            HostEntry theirs = known.get(state.name());
            if (theirs == null || state.newerThan(theirs)) {
                newer.add(state);
            }
        }
        return newer;
    }

    /** Returns the hosts that are alive, including this one. */
    public List<HostEntry> alive(long nowNanos) {
        List<HostEntry> alive = new ArrayList<>();
        for (Seen host : mSeen.values()) {
            if (alive(host, nowNanos)) {
                alive.add(host.mEntry);
            }
        }
        return alive;
    }

    private boolean alive(Seen host, long nowNanos) {
        return host.mEntry.name().equals(mSelf)
                || (host.mHeard && nowNanos - host.mHeardNanos <= SILENT_NANOS);
    }

    /** Returns the number of hosts that share the budgets, including failed ones; at least 1. */
    public int sharers(long nowNanos) {
        int count = 0;
        for (Seen host : mSeen.values()) {
            if (host.mHeard && nowNanos - host.mHeardNanos <= COUNTED_NANOS) {
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
    public @Nullable HostEntry partner(
            @Nullable String zone, long nowNanos, RandomGenerator random) {
        List<HostEntry> alive = new ArrayList<>();
        List<HostEntry> failed = new ArrayList<>();
        for (Seen host : mSeen.values()) {
            HostEntry state = host.mEntry;
            if (!state.name().equals(mSelf) && (zone == null || zone.equals(state.zone()))) {
                (alive(host, nowNanos) ? alive : failed).add(state);
            }
        }
        // Occasionally selects a failed host, so that the end of a network partition is detected.
        boolean tryFailed = alive.isEmpty() || (!failed.isEmpty() && random.nextInt(8) == 0);
        List<HostEntry> candidates = tryFailed ? failed : alive;
        return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
    }

    /** Returns the request rate of all hosts that are alive, by service and region. */
    public Map<String, Map<String, Double>> demand(
            Map<String, String> regionOfZone, long nowNanos) {
        Map<String, Map<String, Double>> demand = new HashMap<>();
        for (HostEntry host : alive(nowNanos)) {
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
