package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Selects the hosts that poll the platform's store.
 *
 * <p>The load on the store grows with the number of hosts that poll it. Therefore only two hosts in
 * each region, in different zones if possible, poll the store and forward changes to the other
 * hosts. Hosts that cannot reach the store do not count towards the two, but keep polling if they
 * rank before the reachable ones, so that they detect when they can reach it again.
 */
public final class StoreReaderSelector {
    private static final int READERS_PER_REGION = 2;
    private static final String KEY = "store";

    private StoreReaderSelector() {}

    /** Returns whether the host named {@code self} polls the store; true if it is not alive yet. */
    public static boolean isReader(
            String self, Collection<HostState> alive, Map<String, String> regionOfZone) {
        @Nullable HostState own = null;
        for (HostState host : alive) {
            if (host.name().equals(self)) {
                own = host;
            }
        }
        if (own == null) {
            return true;
        }
        String region = regionOfZone.get(own.zone());
        return region != null
                && readers(region, alive, regionOfZone).stream()
                        .anyMatch(host -> host.name().equals(self));
    }

    /** Returns the hosts of a region that poll the store. */
    public static List<HostState> readers(
            String region, Collection<HostState> alive, Map<String, String> regionOfZone) {
        Map<String, HostState> byName = new HashMap<>();
        for (HostState host : alive) {
            if (region.equals(regionOfZone.get(host.zone()))) {
                byName.put(host.name(), host);
            }
        }
        List<HostState> ordered = new ArrayList<>();
        for (String name : RendezvousHash.rank(KEY, byName.keySet())) {
            ordered.add(byName.get(name));
        }
        Set<String> names = selectReaders(ordered);
        return ordered.stream().filter(host -> names.contains(host.name())).toList();
    }

    private static Set<String> selectReaders(List<HostState> ordered) {
        Set<String> readers = new HashSet<>();
        Set<String> zones = new HashSet<>();
        int reachable = 0;
        for (HostState host : ordered) {
            if (reachable < READERS_PER_REGION
                    && !(host.storeReachable() && zones.contains(host.zone()))) {
                readers.add(host.name());
                if (host.storeReachable()) {
                    reachable++;
                    zones.add(host.zone());
                }
            }
        }
        for (HostState host : ordered) {
            if (reachable < READERS_PER_REGION && !readers.contains(host.name())) {
                readers.add(host.name());
                reachable++;
            }
        }
        return readers;
    }
}
