package org.redwingladder.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns the health checks of backend servers to hosts, so that usually one host checks each
 * server: a host of the server's availability zone, else of its region, else any host.
 */
public final class HealthCheckers {
    private final Map<String, String> mRegionOfZone;
    private final List<String> mAll = new ArrayList<>();
    private final Map<String, List<String>> mByZone = new HashMap<>();
    private final Map<String, List<String>> mByRegion = new HashMap<>();

    private HealthCheckers(Collection<HostState> alive, Map<String, String> regionOfZone) {
        mRegionOfZone = regionOfZone;
        for (HostState host : alive) {
            if (host.serving()) {
                mAll.add(host.name());
                mByZone.computeIfAbsent(host.zone(), z -> new ArrayList<>()).add(host.name());
                mByRegion
                        .computeIfAbsent(region(host.zone()), r -> new ArrayList<>())
                        .add(host.name());
            }
        }
    }

    /** Returns the assignment to the hosts that are alive and serve. */
    public static HealthCheckers among(
            Collection<HostState> alive, Map<String, String> regionOfZone) {
        return new HealthCheckers(alive, regionOfZone);
    }

    private String region(String zone) {
        return mRegionOfZone.getOrDefault(zone, zone);
    }

    /** Returns whether the host named {@code self} checks a server. */
    public boolean isChecker(String self, ServerRegistration server) {
        List<String> candidates = mByZone.get(server.zone());
        if (candidates == null) {
            candidates = mByRegion.getOrDefault(region(server.zone()), mAll);
        }
        return candidates.contains(self)
                && RendezvousHash.positionBefore(1, server.id(), self, candidates) == 0;
    }
}
