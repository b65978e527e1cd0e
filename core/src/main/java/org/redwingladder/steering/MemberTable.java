package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Keeps what this host knows of the others.
 *
 * <p>Each host counts its own beats; the counts spread by exchanges between pairs. A host whose
 * count has stood still for a while is taken as gone. Nothing of this is agreed: it says which
 * hosts clients may be sent to and how many hosts share a budget. Not thread-safe.
 */
public final class MemberTable {
    /** Time after which a host that was not heard of is not named to clients. */
    public static final long SILENT_NANOS = 3_000_000_000L;

    /** Time after which a host that was not heard of is dropped. */
    private static final long FORGET_NANOS = 60_000_000_000L;

    /** Budgets are shared by all hosts that were alive this long ago, since some may still send. */
    private static final long COUNTED_NANOS = 15_000_000_000L;

    private final String mSelf;
    private final Map<String, Seen> mSeen = new HashMap<>();

    private static final class Seen {
        private HostEntry mEntry;
        private long mHeardNanos;
        private boolean mHeard;

        Seen(HostEntry entry) {
            mEntry = entry;
        }
    }

    private MemberTable(String self) {
        mSelf = self;
    }

    /** Creates a table that knows no other host. */
    public static MemberTable create(String self) {
        return new MemberTable(self);
    }

    /** Takes over what this host says of itself. */
    public void self(HostEntry entry, long nowNanos) {
        heard(entry, nowNanos);
    }

    /** Takes over entries that another host passed on. */
    public void merge(Collection<HostEntry> entries, long nowNanos) {
        for (HostEntry entry : entries) {
            if (!entry.name().equals(mSelf)) {
                heard(entry, nowNanos);
            }
        }
    }

    /** Adds a host that is only known by its registration; it counts as alive once it is heard. */
    public void registered(HostEntry entry) {
        Seen seen = mSeen.get(entry.name());
        if (seen == null) {
            mSeen.put(entry.name(), new Seen(entry));
        } else if (entry.startedMillis() > seen.mEntry.startedMillis()) {
            seen.mEntry = entry;
            seen.mHeard = false;
        }
    }

    private void heard(HostEntry entry, long nowNanos) {
        Seen seen = mSeen.get(entry.name());
        if (seen == null) {
            seen = new Seen(entry);
            mSeen.put(entry.name(), seen);
        } else if (!entry.newerThan(seen.mEntry)) {
            return;
        }
        seen.mEntry = entry;
        seen.mHeardNanos = nowNanos;
        seen.mHeard = true;
    }

    /** Drops hosts that were not heard of for long. */
    public void expire(long nowNanos) {
        mSeen.values().removeIf(seen -> seen.mHeard && nowNanos - seen.mHeardNanos > FORGET_NANOS);
    }

    /** Returns all entries that are worth passing on. */
    public List<HostEntry> entries(long nowNanos) {
        List<HostEntry> entries = new ArrayList<>();
        for (Seen seen : mSeen.values()) {
            if (seen.mHeard && nowNanos - seen.mHeardNanos <= COUNTED_NANOS) {
                entries.add(seen.mEntry);
            }
        }
        return entries;
    }

    /** Returns the entries that are worth passing on to a host that told what it knows. */
    public List<HostEntry> entriesBeyond(Collection<HostEntry> told, long nowNanos) {
        Map<String, HostEntry> known = new HashMap<>();
        told.forEach(entry -> known.put(entry.name(), entry));
        List<HostEntry> beyond = new ArrayList<>();
        for (HostEntry entry : entries(nowNanos)) {
            HostEntry there = known.get(entry.name());
            if (there == null || entry.newerThan(there)) {
                beyond.add(entry);
            }
        }
        return beyond;
    }

    /** Returns the hosts that are alive, this one included. */
    public List<HostEntry> alive(long nowNanos) {
        List<HostEntry> alive = new ArrayList<>();
        for (Seen seen : mSeen.values()) {
            if (alive(seen, nowNanos)) {
                alive.add(seen.mEntry);
            }
        }
        return alive;
    }

    private boolean alive(Seen seen, long nowNanos) {
        return seen.mEntry.name().equals(mSelf)
                || (seen.mHeard && nowNanos - seen.mHeardNanos <= SILENT_NANOS);
    }

    /** Returns the number of hosts that share the budgets, at least 1. */
    public int sharers(long nowNanos) {
        int count = 0;
        for (Seen seen : mSeen.values()) {
            if (seen.mHeard && nowNanos - seen.mHeardNanos <= COUNTED_NANOS) {
                count++;
            }
        }
        return Math.max(1, count);
    }

    /** Returns a host to exchange entries with, null if none is known. */
    public @Nullable HostEntry partner(
            @Nullable String zone, long nowNanos, RandomGenerator random) {
        List<HostEntry> alive = new ArrayList<>();
        List<HostEntry> others = new ArrayList<>();
        for (Seen seen : mSeen.values()) {
            HostEntry entry = seen.mEntry;
            if (!entry.name().equals(mSelf) && (zone == null || zone.equals(entry.zone()))) {
                (alive(seen, nowNanos) ? alive : others).add(entry);
            }
        }
        // Now and then a silent host is tried, so that a healed cut is noticed.
        boolean trySilent = alive.isEmpty() || (!others.isEmpty() && random.nextInt(8) == 0);
        List<HostEntry> from = trySilent ? others : alive;
        return from.isEmpty() ? null : from.get(random.nextInt(from.size()));
    }

    /** Returns the demand of all hosts that are alive, by service and region. */
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
