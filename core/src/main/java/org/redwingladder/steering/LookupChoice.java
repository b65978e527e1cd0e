package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Chooses the hosts that a client is told to use. */
public final class LookupChoice {
    /** The largest number of addresses in one answer that clients take. */
    private static final int MAX_ADDRESSES = 64;

    /** Clients need a second host when the first one fails. */
    private static final int MIN_HOSTS = 2;

    /** Requests a second that keep a small host at a third of its share of a core. */
    private static final double REQUESTS_PER_HOST = 60;

    private LookupChoice() {}

    /**
     * Returns client addresses of the nearest hosts: those of the client's zone, else of its
     * region, else all.
     *
     * <p>Of these only as many are named as the demand needs, the same ones on all hosts. Each host
     * chooses backend servers by what it saw itself, and few hosts see more of each server.
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
        Map<String, String> addresses = new HashMap<>();
        double demand = 0;
        for (HostEntry host : nearest) {
            addresses.put(host.name(), host.clientAddress());
            for (double rate : host.demand().values()) {
                demand += rate;
            }
        }
        int wanted = Math.max(MIN_HOSTS, (int) Math.ceil(demand / REQUESTS_PER_HOST));
        List<String> named = new ArrayList<>();
        for (String name : Rendezvous.order(zone, addresses.keySet())) {
            if (named.size() < Math.min(wanted, MAX_ADDRESSES)) {
                named.add(addresses.get(name));
            }
        }
        return named;
    }
}
