package org.redwingladder.settings;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * A complete, immutable settings document.
 *
 * <p>The names of services, backend servers and caps are unique across teams, which {@link
 * SettingsValidator} enforces.
 */
public final class Settings {
    private final DeploymentSettings mDeployment;
    private final SortedMap<String, TeamSettings> mTeams;
    private final SortedMap<String, String> mRegionsByZone;
    private final SortedMap<String, Service> mServices;
    private final SortedMap<String, BackendServer> mBackendServers;
    private final SortedMap<String, Cap> mCaps;
    private final Map<Site, SortedMap<String, BackendServer>> mBackendsBySite;
    private final Map<String, List<String>> mServicesByZone;
    private final Map<String, Double> mOneWayMillisByPair;

    private Settings(DeploymentSettings deployment, Map<String, TeamSettings> teams) {
        mDeployment = requireNonNull(deployment, "deployment");
        mTeams = DeploymentSettings.sorted(teams);
        SortedMap<String, String> zones = new TreeMap<>();
        deployment
                .regions()
                .forEach((name, region) -> region.zones().forEach(z -> zones.put(z, name)));
        mRegionsByZone = Collections.unmodifiableSortedMap(zones);
        SortedMap<String, Service> services = new TreeMap<>();
        SortedMap<String, BackendServer> backends = new TreeMap<>();
        SortedMap<String, Cap> caps = new TreeMap<>();
        for (TeamSettings team : mTeams.values()) {
            services.putAll(team.services());
            backends.putAll(team.backendServers());
            caps.putAll(team.caps());
        }
        mServices = Collections.unmodifiableSortedMap(services);
        mBackendServers = Collections.unmodifiableSortedMap(backends);
        mCaps = Collections.unmodifiableSortedMap(caps);
        Map<Site, SortedMap<String, BackendServer>> bySite = new HashMap<>();
        backends.forEach(
                (name, b) ->
                        bySite.computeIfAbsent(
                                        new Site(b.service(), b.zone()), s -> new TreeMap<>())
                                .put(name, b));
        mBackendsBySite = bySite;
        Map<String, List<String>> byZone = new HashMap<>();
        services.forEach(
                (name, service) ->
                        service.zones()
                                .keySet()
                                .forEach(
                                        zone ->
                                                byZone.computeIfAbsent(zone, z -> new ArrayList<>())
                                                        .add(name)));
        mServicesByZone = byZone;
        Map<String, Double> millis = new HashMap<>();
        for (Distance d : deployment.distances().values()) {
            if (d.between().size() == 2) {
                millis.put(pairKey(d.between().get(0), d.between().get(1)), d.oneWayMillis());
            }
        }
        mOneWayMillisByPair = millis;
    }

    /** Returns settings made of {@code deployment} and {@code teams}. */
    public static Settings of(DeploymentSettings deployment, Map<String, TeamSettings> teams) {
        return new Settings(deployment, teams);
    }

    /** Returns the subtree of the deployment team. */
    public DeploymentSettings deployment() {
        return mDeployment;
    }

    /** Returns the subtrees of the other teams, by team. */
    public SortedMap<String, TeamSettings> teams() {
        return mTeams;
    }

    /** Returns the number of client blocks. */
    public int blockCount() {
        return mDeployment.blockCount();
    }

    /** Returns the time-to-live of a look-up answer in milliseconds. */
    public long lookupLifetimeMillis() {
        return mDeployment.lookupLifetimeMillis();
    }

    /** Returns the regions, by name. */
    public SortedMap<String, Region> regions() {
        return mDeployment.regions();
    }

    /** Returns the names of all zones. */
    public SortedSet<String> zones() {
        return new TreeSet<>(mRegionsByZone.keySet());
    }

    /** Returns the region of {@code zone}, or null if the zone is unknown. */
    public @Nullable String regionOf(String zone) {
        return mRegionsByZone.get(zone);
    }

    /** Returns the links between regions, by name. */
    public SortedMap<String, Link> links() {
        return mDeployment.links();
    }

    /** Returns all services, by name. */
    public SortedMap<String, Service> services() {
        return mServices;
    }

    /** Returns all backend servers, by name. */
    public SortedMap<String, BackendServer> backendServers() {
        return mBackendServers;
    }

    /** Returns all caps, by name. */
    public SortedMap<String, Cap> caps() {
        return mCaps;
    }

    /** Returns the backend servers of {@code site}, by name. */
    public SortedMap<String, BackendServer> backendServers(Site site) {
        SortedMap<String, BackendServer> found = mBackendsBySite.get(site);
        return found == null ? new TreeMap<>() : Collections.unmodifiableSortedMap(found);
    }

    /** Returns all sites ordered by service and zone. */
    public List<Site> sites() {
        List<Site> sites = new ArrayList<>();
        mServices.forEach(
                (name, s) -> s.zones().keySet().forEach(z -> sites.add(new Site(name, z))));
        return sites;
    }

    /** Returns the sorted names of the services that have a site in {@code zone}. */
    public List<String> servicesIn(String zone) {
        return mServicesByZone.getOrDefault(zone, List.of());
    }

    /** Returns whether {@code scope} (a zone, a region or {@code any}) contains {@code zone}. */
    public boolean covers(String scope, String zone) {
        return scope.equals(Cap.ANY)
                || scope.equals(zone)
                || scope.equals(mRegionsByZone.get(zone));
    }

    /**
     * Returns the one-way latency between two regions in milliseconds. Without a configured
     * distance it is 0 within a region and infinite between regions.
     */
    public double oneWayMillis(String regionA, String regionB) {
        Double millis = mOneWayMillisByPair.get(pairKey(regionA, regionB));
        if (millis != null) {
            return millis;
        }
        return regionA.equals(regionB) ? 0 : Double.POSITIVE_INFINITY;
    }

    private static String pairKey(String a, String b) {
        return a.compareTo(b) <= 0 ? a + ' ' + b : b + ' ' + a;
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof Settings s
                && mDeployment.equals(s.mDeployment)
                && mTeams.equals(s.mTeams);
    }

    @Override
    public int hashCode() {
        return 31 * mDeployment.hashCode() + mTeams.hashCode();
    }
}
