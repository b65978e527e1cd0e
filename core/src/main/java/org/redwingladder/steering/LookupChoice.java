package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Chooses the hosts that a client is told to use. */
public final class LookupChoice {
    /** The largest number of addresses in one answer that clients take. */
    private static final int MAX_ADDRESSES = 64;

    private LookupChoice() {}

    /**
     * Returns client addresses of the nearest hosts: those of the client's zone, else of its
     * region, else all.
     */
    public static List<String> addresses(
            Collection<HostEntry> alive,
            String zone,
            String region,
            Map<String, String> regionOfZone) {
        List<String> inZone = new ArrayList<>();
        List<String> inRegion = new ArrayList<>();
        List<String> all = new ArrayList<>();
        for (HostEntry host : alive) {
            if (!host.serving()) {
                continue;
            }
            all.add(host.clientAddress());
            if (host.zone().equals(zone)) {
                inZone.add(host.clientAddress());
            }
            if (region.equals(regionOfZone.get(host.zone()))) {
                inRegion.add(host.clientAddress());
            }
        }
        List<String> nearest = !inZone.isEmpty() ? inZone : !inRegion.isEmpty() ? inRegion : all;
        nearest.sort(null);
        return nearest.size() > MAX_ADDRESSES ? nearest.subList(0, MAX_ADDRESSES) : nearest;
    }
}
