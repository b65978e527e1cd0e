package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Chooses the hosts that a client is told to use. */
public final class LookupChoice {
    /** The largest number of addresses in one answer that clients take. */
    private static final int MAX_ADDRESSES = 64;

    /** Clients need a second host when the first one fails. */
    private static final int MIN_HOSTS = 2;

    private LookupChoice() {}

    /**
     * Returns client addresses of the nearest hosts: those of the client's zone, else of its
     * region, else all.
     *
     * <p>Of these only as many are named as the demand needs, the largest ones, the same on all
     * hosts. Each host chooses backend servers by what it saw itself: few hosts see more of each
     * server and need fewer connections.
     */
    public static List<String> addresses(
            Collection<HostEntry> alive,
            String zone,
            String region,
            Map<String, String> regionOfZone) {
        List<HostEntry> inZone = new ArrayList<>();
        List<HostEntry> inRegion = new ArrayList<>();
        List<HostEntry> all = new ArrayList<>();
        for (HostEntry host : alive) {
            if (!host.serving()) {
                continue;
            }
            all.add(host);
            if (host.zone().equals(zone)) {
                inZone.add(host);
            }
            if (region.equals(regionOfZone.get(host.zone()))) {
                inRegion.add(host);
            }
        }
        List<HostEntry> nearest = !inZone.isEmpty() ? inZone : !inRegion.isEmpty() ? inRegion : all;
        double demand = 0;
        for (HostEntry host : nearest) {
            demand += host.requestsPerSecond();
        }
        List<HostEntry> ordered = largestFirst(zone, nearest);
        List<String> named = new ArrayList<>();
        for (HostEntry host : ordered.subList(0, wanted(ordered, demand))) {
            named.add(host.clientAddress());
        }
        return named;
    }

    private static List<HostEntry> largestFirst(String zone, List<HostEntry> hosts) {
        Map<String, HostEntry> byName = new HashMap<>();
        hosts.forEach(host -> byName.put(host.name(), host));
        List<HostEntry> ordered = new ArrayList<>();
        for (String name : Rendezvous.order(zone, byName.keySet())) {
            ordered.add(byName.get(name));
        }
        ordered.sort(Comparator.comparingDouble(HostEntry::capacity).reversed());
        return ordered;
    }

    /**
     * Returns how many of the hosts are needed. Clients use all hosts that are named alike, so that
     * the smallest of them bounds what they carry together.
     */
    private static int wanted(List<HostEntry> ordered, double demand) {
        int most = Math.min(ordered.size(), MAX_ADDRESSES);
        int best = Math.min(MIN_HOSTS, most);
        for (int count = Math.max(1, best); count <= most; count++) {
            double carried = count * ordered.get(count - 1).capacity();
            if (carried >= demand) {
                return count;
            }
            if (carried > best * ordered.get(best - 1).capacity()) {
                best = count;
            }
        }
        return best;
    }
}
