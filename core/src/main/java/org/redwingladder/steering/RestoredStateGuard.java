package org.redwingladder.steering;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Keeps what a host knew from going back after the store was restored from an older copy.
 *
 * <p>The copy lacks what operators and servers wrote last, until they write it again. A zone that
 * was evacuated therefore stays evacuated for a while, a server that was draining keeps draining,
 * one that had left is not used because its row is back, and no server warms up sooner. What is
 * written after the restore is obeyed at once, except that the same incarnation of a server does
 * not stop draining. Not thread-safe.
 */
public final class RestoredStateGuard {
    /**
     * Time in which what was lost is written again. The store removes the row of a server that left
     * after 4.5 s of silence, so that a row that lasts longer is that of a running server, which
     * need not change its row to show itself.
     */
    public static final long SETTLE_NANOS = 10_000_000_000L;

    /** Bounds the memory for servers that are gone; deployments have a few thousand servers. */
    private static final int MAX_REMEMBERED = 10_000;

    private final Set<String> mLeft = newBoundedSet();
    private final Map<String, Long> mDrainingStarts = newBoundedMap();
    private final Map<String, Long> mCopiedVersions = new HashMap<>();
    private final Set<String> mSuspended = new HashSet<>();
    private Map<String, ServerRegistration> mServers = Map.of();
    private Map<String, ServerRegistration> mServersBefore = Map.of();
    private long mServersSettledNanos;
    private boolean mRestored;
    private Set<String> mZones = Set.of();
    private final Set<String> mHeldZones = new HashSet<>();
    private long mZonesSettledNanos;

    private RestoredStateGuard() {}

    /** Creates a guard of a host that knows nothing yet. */
    public static RestoredStateGuard create() {
        return new RestoredStateGuard();
    }

    private static <V> Map<String, V> newBoundedMap() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > MAX_REMEMBERED;
            }
        };
    }

    private static Set<String> newBoundedSet() {
        return Collections.newSetFromMap(newBoundedMap());
    }

    /** Records that the next rows of the control table are the first ones after a restore. */
    public void controlRestored(long nowNanos) {
        mHeldZones.clear();
        mHeldZones.addAll(mZones);
        mZonesSettledNanos = nowNanos + SETTLE_NANOS;
    }

    /** Returns the zones that are evacuated, given those that have a row. */
    public Set<String> evacuatedZones(Set<String> rows, long nowNanos) {
        if (nowNanos - mZonesSettledNanos >= 0) {
            mHeldZones.clear();
        }
        // Once a zone's row is there, its removal is the operator's.
        mHeldZones.removeAll(rows);
        Set<String> zones = new HashSet<>(rows);
        zones.addAll(mHeldZones);
        mZones = Set.copyOf(zones);
        return mZones;
    }

    /**
     * Records that the next rows of the servers table are the first ones after a restore.
     *
     * @param versions the versions of these rows by server id
     */
    public void serversRestored(Map<String, Long> versions, long nowNanos) {
        mRestored = true;
        mServersBefore = mServers;
        mServersSettledNanos = nowNanos + SETTLE_NANOS;
        mCopiedVersions.clear();
        mCopiedVersions.putAll(versions);
        mSuspended.clear();
        mSuspended.addAll(mLeft);
        mSuspended.retainAll(versions.keySet());
    }

    /**
     * Returns the registrations to use, by server id.
     *
     * @param registered the registrations that the table has
     * @param versions the versions of their rows
     */
    public Map<String, ServerRegistration> servers(
            Map<String, ServerRegistration> registered, Map<String, Long> versions, long nowNanos) {
        if (nowNanos - mServersSettledNanos >= 0) {
            mSuspended.clear();
        }
        Map<String, ServerRegistration> servers = new HashMap<>();
        registered.forEach(
                (id, entry) -> {
                    boolean copied =
                            mCopiedVersions.containsKey(id)
                                    && mCopiedVersions.get(id).equals(versions.get(id));
                    if (!copied) {
                        mCopiedVersions.remove(id);
                        mSuspended.remove(id);
                    }
                    if (!mSuspended.contains(id)) {
                        servers.put(id, mRestored ? withoutReturn(entry, copied) : entry);
                    }
                });
        remember(servers, registered.keySet());
        return servers;
    }

    /** Returns a registration that has kept what this host knew of the same incarnation. */
    private ServerRegistration withoutReturn(ServerRegistration entry, boolean copied) {
        Long drainingStart = mDrainingStarts.get(entry.id());
        // Without a start time only the version tells a new incarnation from the copy of a row.
        boolean draining =
                drainingStart != null
                        && drainingStart == entry.startedMillis()
                        && (copied || entry.startedMillis() != 0);
        ServerRegistration before = copied ? mServersBefore.get(entry.id()) : null;
        long coldUntilNanos = entry.coldUntilNanos();
        if (before != null
                && before.startedMillis() == entry.startedMillis()
                && before.coldUntilNanos() - coldUntilNanos > 0) {
            coldUntilNanos = before.coldUntilNanos();
        }
        return new ServerRegistration(
                entry.id(),
                entry.service(),
                entry.address(),
                entry.zone(),
                entry.slots(),
                entry.draining() || draining,
                entry.startedMillis(),
                coldUntilNanos);
    }

    private void remember(Map<String, ServerRegistration> servers, Set<String> registered) {
        for (String id : mServers.keySet()) {
            if (!registered.contains(id)) {
                mLeft.add(id);
            }
        }
        mLeft.removeAll(servers.keySet());
        servers.forEach(
                (id, entry) -> {
                    if (entry.draining()) {
                        mDrainingStarts.put(id, entry.startedMillis());
                    } else {
                        mDrainingStarts.remove(id);
                    }
                });
        mServers = Map.copyOf(servers);
    }

    /** Returns the servers whose rows are back although they had left; they are not used. */
    public Set<String> suspended() {
        return Set.copyOf(mSuspended);
    }
}
