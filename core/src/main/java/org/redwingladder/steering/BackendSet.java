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
 * The backend servers to which requests may be sent.
 *
 * <p>A server is unusable while it drains or after it said that it leaves, while its zone is
 * evacuated and after it deregisters. Servers of a zone whose evacuation ends are treated as cold.
 * Not thread-safe.
 */
public final class BackendSet {
    private final Map<String, String> mRegionOfZone;
    private final Map<String, Backend> mById = new HashMap<>();
    private final Map<String, List<Backend>> mUsableByService = new HashMap<>();
    private Map<String, ServiceSpec> mServices = Map.of();
    private Set<String> mEvacuated = Set.of();
    private long mVersion;
    private boolean mHadServers;

    private BackendSet(Map<String, String> regionOfZone) {
        mRegionOfZone = Map.copyOf(regionOfZone);
    }

    /** Creates an empty set for a deployment with the given zones and their regions. */
    public static BackendSet create(Map<String, String> regionOfZone) {
        return new BackendSet(regionOfZone);
    }

    /** Replaces the services by those of a settings version. */
    public void updateServices(Map<String, ServiceSpec> services) {
        mServices = services;
        rebuild();
    }

    /** Returns a service, or null if the settings do not contain it. */
    public @Nullable ServiceSpec service(String name) {
        return mServices.get(name);
    }

    /** Replaces the set of evacuated zones, whose servers receive no requests. */
    public void updateEvacuatedZones(Set<String> zones, long nowNanos) {
        for (Backend backend : mById.values()) {
            String zone = backend.registration().zone();
            if (mEvacuated.contains(zone) && !zones.contains(zone)) {
                backend.extendColdUntil(nowNanos + warmUpNanos(backend.registration()));
            }
        }
        mEvacuated = Set.copyOf(zones);
        rebuild();
    }

    /** Replaces the registered servers; servers without a registration are removed. */
    public void updateServers(Collection<ServerRegistration> entries, long nowNanos) {
        Set<String> present = new HashSet<>();
        for (ServerRegistration entry : entries) {
            present.add(entry.id());
            Backend known = mById.get(entry.id());
            if (known == null || restarted(known.registration(), entry)) {
                // A server that registers after the first update has just started.
                long coldUntil =
                        mHadServers ? nowNanos + warmUpNanos(entry) : entry.coldUntilNanos();
                mById.put(
                        entry.id(),
                        new Backend(entry, Math.max(coldUntil, entry.coldUntilNanos())));
            } else {
                known.update(entry);
            }
        }
        mById.keySet().retainAll(present);
        mHadServers = mHadServers || !mById.isEmpty();
        rebuild();
    }

    private static boolean restarted(ServerRegistration known, ServerRegistration now) {
        return known.startedMillis() != now.startedMillis()
                || !known.address().equals(now.address());
    }

    private long warmUpNanos(ServerRegistration entry) {
        return warmUpMillis(entry) * 1_000_000L;
    }

    /** Returns the time for which a server is cold after its start. */
    public long warmUpMillis(ServerRegistration entry) {
        ServiceSpec service = mServices.get(entry.service());
        return service == null ? 0 : service.warmUpMillis();
    }

    private void rebuild() {
        mUsableByService.clear();
        mVersion++;
        for (Backend backend : mById.values()) {
            if (mayBeUsed(backend)) {
                mUsableByService
                        .computeIfAbsent(backend.registration().service(), s -> new ArrayList<>())
                        .add(backend);
            }
        }
        for (List<Backend> backends : mUsableByService.values()) {
            backends.sort((a, b) -> a.registration().id().compareTo(b.registration().id()));
        }
    }

    private boolean mayBeUsed(Backend backend) {
        ServerRegistration entry = backend.registration();
        return !entry.draining()
                && !backend.leaving()
                && !mEvacuated.contains(entry.zone())
                && mRegionOfZone.containsKey(entry.zone());
    }

    /** Returns whether requests may be sent to a server that was chosen before. */
    public boolean mayReceive(Backend backend, long nowNanos) {
        return mById.get(backend.registration().id()) == backend
                && mayBeUsed(backend)
                && backend.holdOffNanos(nowNanos) == 0;
    }

    /** Applies the rates that servers accept. */
    public void applyRateLimits(ServerRateLimitTable limits) {
        for (Backend backend : mById.values()) {
            backend.limitPerSecond(limits.perSecond(backend.registration()));
        }
    }

    /** Applies the warm-ups that the registrations do not tell. */
    public void applyWarmUps(ServerWarmUpTable warmUps) {
        for (Backend backend : mById.values()) {
            backend.warmUp(warmUps.warmUp(backend.registration()));
        }
    }

    /** Applies what servers said of their leaving. */
    public void applyLeavings(ServerLeavingTable leavings) {
        boolean changed = false;
        for (Backend backend : mById.values()) {
            boolean leaving = leavings.leaving(backend.registration());
            changed |= leaving != backend.leaving();
            backend.leaving(leaving);
        }
        if (changed) {
            rebuild();
        }
    }

    /** Returns the number of servers that support only the rate of a cold server. */
    public int coldCount(long nowNanos) {
        return (int) mById.values().stream().filter(backend -> backend.cold(nowNanos)).count();
    }

    /** Returns the servers to which requests may be sent. */
    public List<Backend> usable() {
        return mUsableByService.values().stream().flatMap(List::stream).toList();
    }

    /** Returns the servers that have named a rate limit, ordered by id. */
    public List<Backend> limited() {
        return mById.values().stream()
                .filter(Backend::limited)
                .sorted((a, b) -> a.registration().id().compareTo(b.registration().id()))
                .toList();
    }

    /** Returns the servers of a service to which requests may be sent, ordered by id. */
    public List<Backend> usable(String service) {
        return mUsableByService.getOrDefault(service, List.of());
    }

    /** Returns the region of a zone, or the zone itself if its region is unknown. */
    public String regionOf(String zone) {
        return mRegionOfZone.getOrDefault(zone, zone);
    }

    /** Returns a version number that increases with each change of the usable servers. */
    public long version() {
        return mVersion;
    }

    /** Returns the number of registered servers, including unusable ones. */
    public int size() {
        return mById.size();
    }

    /** Returns the number of zones by region. */
    public Map<String, Double> zoneCountByRegion() {
        Map<String, Double> zones = new HashMap<>();
        mRegionOfZone.values().forEach(region -> zones.merge(region, 1.0, Double::sum));
        return zones;
    }

    /**
     * Returns the slots of a service's usable servers by region. Of a server with a rate limit only
     * the slots count that requests at this rate occupy.
     *
     * @param serviceSeconds the mean time for which a request occupies a slot
     */
    public Map<String, Double> slotsByRegion(String service, double serviceSeconds) {
        Map<String, Double> slots = new HashMap<>();
        for (Backend backend : usable(service)) {
            slots.merge(
                    regionOf(backend.registration().zone()),
                    effectiveSlots(backend, serviceSeconds),
                    Double::sum);
        }
        return slots;
    }

    private static double effectiveSlots(Backend backend, double serviceSeconds) {
        int slots = backend.registration().slots();
        return backend.limited()
                ? Math.min(slots, backend.limitPerSecond() * serviceSeconds)
                : slots;
    }
}
