package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Selects the entry hosts that a look-up returns to a client. */
public final class LookupHostSelector {
    /** The largest number of addresses that clients accept in one answer. */
    private static final int MAX_ADDRESSES = 64;

    /** Clients fail over to a second host when the first one fails. */
    private static final int MIN_HOSTS = 2;

    private LookupHostSelector() {}

    /**
     * Returns the client addresses of the nearest serving hosts: those in the client's zone, or
     * else in its region, or else all.
     *
     * <p>Only as many of them are returned as the demand requires, the hosts with the largest
     * capacity first. All hosts compute the same result. Each host balances load by its own
     * observations, so that fewer hosts have more observations of each server and need fewer
     * connections.
     */
    public static List<String> selectAddresses(
            Collection<HostState> alive,
            String zone,
            String region,
            Map<String, String> regionOfZone) {
        List<HostState> inZone = new ArrayList<>();
        List<HostState> inRegion = new ArrayList<>();
        List<HostState> all = new ArrayList<>();
        for (HostState host : alive) {
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
        List<HostState> nearest = !inZone.isEmpty() ? inZone : !inRegion.isEmpty() ? inRegion : all;
        double demand = 0;
        for (HostState host : nearest) {
            demand += host.requestsPerSecond();
        }
        List<HostState> ordered = byCapacityDescending(zone, nearest);
        List<String> addresses = new ArrayList<>();
        for (HostState host : ordered.subList(0, hostsNeeded(ordered, demand))) {
            addresses.add(host.clientAddress());
        }
        return addresses;
    }

    private static List<HostState> byCapacityDescending(String zone, List<HostState> hosts) {
        Map<String, HostState> byName = new HashMap<>();
        hosts.forEach(host -> byName.put(host.name(), host));
        List<HostState> ordered = new ArrayList<>();
        for (String name : RendezvousHash.rank(zone, byName.keySet())) {
            ordered.add(byName.get(name));
        }
        ordered.sort(Comparator.comparingDouble(HostState::capacity).reversed());
        return ordered;
    }

    /**
     * Returns the number of hosts that the demand requires. Clients spread their requests evenly
     * over the returned hosts, so that the smallest of them limits their total capacity.
     */
    private static int hostsNeeded(List<HostState> ordered, double demand) {
        int maxCount = Math.min(ordered.size(), MAX_ADDRESSES);
        int bestCount = Math.min(MIN_HOSTS, maxCount);
        for (int count = Math.max(1, bestCount); count <= maxCount; count++) {
            double totalCapacity = count * ordered.get(count - 1).capacity();
            if (totalCapacity >= demand) {
                return count;
            }
            if (totalCapacity > bestCount * ordered.get(bestCount - 1).capacity()) {
                bestCount = count;
            }
        }
        return bestCount;
    }
}
