package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the hosts that poll the platform's store.
 *
 * <p>The load on the store grows with the number of hosts that poll it. Therefore only two hosts in
 * each region, in different zones if possible, poll the store and forward changes to the other
 * hosts. Hosts that cannot reach the store do not count towards the two, but keep polling if they
 * rank before the reachable ones, so that they detect when they can reach it again.
 */
public final class ReaderChoice {
    private static final int READERS = 2;
    private static final String KEY = "store";

    private ReaderChoice() {}

    /** Returns whether the host named {@code self} polls the store; true if it is not alive yet. */
    public static boolean reads(
            String self, Collection<HostEntry> alive, Map<String, String> regionOfZone) {
        Map<String, HostEntry> byName = new HashMap<>();
        for (HostEntry host : alive) {
            byName.put(host.name(), host);
        }
        HostEntry own = byName.get(self);
        if (own == null) {
            return true;
        }
        String region = regionOfZone.get(own.zone());
        List<HostEntry> ordered = new ArrayList<>();
        for (String name : RendezvousHash.rank(KEY, byName.keySet())) {
            HostEntry host = byName.get(name);
            if (region != null && region.equals(regionOfZone.get(host.zone()))) {
                ordered.add(host);
            }
        }
        return readers(ordered).contains(self);
    }

    private static Set<String> readers(List<HostEntry> ordered) {
        Set<String> readers = new HashSet<>();
        Set<String> zones = new HashSet<>();
        int reachable = 0;
        for (HostEntry host : ordered) {
            if (reachable < READERS && !(host.storeReachable() && zones.contains(host.zone()))) {
                readers.add(host.name());
                if (host.storeReachable()) {
                    reachable++;
                    zones.add(host.zone());
                }
            }
        }
        for (HostEntry host : ordered) {
            if (reachable < READERS && !readers.contains(host.name())) {
                readers.add(host.name());
                reachable++;
            }
        }
        return readers;
    }
}
