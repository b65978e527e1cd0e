package org.redwingladder.lookup;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;

/**
 * Answers look-ups: which entry hosts a client block should use, best first.
 *
 * <p>Reads are wait-free: an update builds a new immutable snapshot and publishes it by a volatile
 * write (copy-on-write). Updates are serialized.
 */
public final class LookupService {

    private record ServiceAssignments(SiteRanking ranking, BlockAssignments blocks) {}

    /** The data that a look-up reads. Arrays are indexed by site number. */
    private record Snapshot(
            long version,
            @Nullable Settings settings,
            @Nullable BlockGroups groups,
            SiteIndex sites,
            Map<String, ServiceAssignments> services,
            Map<String, ZoneHostTable> hosts,
            @Nullable ZoneHostTable[] hostsBySite,
            List<List<ZoneHostTable>> hostsByHome) {}

    private volatile Snapshot mSnapshot =
            new Snapshot(
                    0,
                    null,
                    null,
                    SiteIndex.empty(),
                    Map.of(),
                    Map.of(),
                    new ZoneHostTable[0],
                    List.of());

    private LookupService() {}

    /** Creates a service without settings. */
    public static LookupService create() {
        return new LookupService();
    }

    /** Applies a settings version; one that is not newer than the current one is ignored. */
    public synchronized void update(Settings settings, long version) {
        Snapshot old = mSnapshot;
        if (version <= old.version) {
            return;
        }
        SiteIndex sites = old.sites.update(settings);
        BlockGroups groups = BlockGroups.of(settings);
        BlockGroups oldGroups = old.groups;
        boolean sameGroups = oldGroups != null && oldGroups.isSameAs(groups);
        Map<String, ServiceAssignments> services = new HashMap<>();
        for (String name : settings.services().keySet()) {
            SiteRanking ranking = SiteRanking.of(settings, sites, name, groups.regions());
            ServiceAssignments before = old.services.get(name);
            if (before == null || oldGroups == null) {
                services.put(
                        name,
                        new ServiceAssignments(ranking, BlockAssignments.build(ranking, groups)));
            } else if (sameGroups && before.ranking.isSameAs(ranking)) {
                services.put(name, before);
            } else {
                services.put(
                        name,
                        new ServiceAssignments(
                                ranking,
                                before.blocks.update(before.ranking, oldGroups, ranking, groups)));
            }
        }
        publish(version, settings, sameGroups ? oldGroups : groups, sites, services, old.hosts);
    }

    /** Replaces the serving entry hosts, by zone. */
    public synchronized void updateHosts(Map<String, List<EntryHost>> hostsByZone) {
        Snapshot old = mSnapshot;
        Map<String, ZoneHostTable> hosts = new HashMap<>();
        hostsByZone.forEach(
                (zone, list) -> {
                    ZoneHostTable before = old.hosts.get(zone);
                    if (before != null && before.hosts().equals(list)) {
                        hosts.put(zone, before);
                    } else if (!list.isEmpty()) {
                        hosts.put(zone, ZoneHostTable.of(list));
                    }
                });
        publish(old.version, old.settings, old.groups, old.sites, old.services, hosts);
    }

    private void publish(
            long version,
            @Nullable Settings settings,
            @Nullable BlockGroups groups,
            SiteIndex sites,
            Map<String, ServiceAssignments> services,
            Map<String, ZoneHostTable> hosts) {
        @Nullable ZoneHostTable[] bySite = new ZoneHostTable[sites.limit()];
        List<List<ZoneHostTable>> byHome = new ArrayList<>();
        if (settings != null && groups != null) {
            for (Site site : settings.sites()) {
                bySite[sites.number(site)] = hosts.get(site.zone());
            }
            for (String home : groups.regions()) {
                byHome.add(zonesByDistance(settings, home, hosts));
            }
        }
        mSnapshot = new Snapshot(version, settings, groups, sites, services, hosts, bySite, byHome);
    }

    /** Returns the zones that have entry hosts, nearest to {@code home} first. */
    private static List<ZoneHostTable> zonesByDistance(
            Settings settings, String home, Map<String, ZoneHostTable> hosts) {
        return settings.zones().stream()
                .filter(hosts::containsKey)
                .sorted(
                        Comparator.comparing((String z) -> !home.equals(settings.regionOf(z)))
                                .thenComparingDouble(
                                        z ->
                                                settings.oneWayMillis(
                                                        home, String.valueOf(settings.regionOf(z))))
                                .thenComparing(Comparator.naturalOrder()))
                .map(hosts::get)
                .toList();
    }

    /**
     * Returns the response for {@code block}, without a token, or null if the service or the block
     * is unknown or there are no settings. The entry hosts are in at least two zones, if two zones
     * have any; the list is empty only if no zone has any.
     */
    public @Nullable LookupResponse lookup(String service, int block, long nowMillis) {
        Snapshot snapshot = mSnapshot;
        ServiceAssignments assignments = snapshot.services.get(service);
        Settings settings = snapshot.settings;
        if (assignments == null
                || settings == null
                || block < 0
                || block >= settings.blockCount()) {
            return null;
        }
        int slot = ZoneHostTable.slot(block);
        ZoneHostTable primary = hosts(snapshot, assignments.blocks.primary(block));
        ZoneHostTable secondary = hosts(snapshot, assignments.blocks.secondary(block));
        List<EntryHost> hosts;
        if (primary != null && secondary != null) {
            EntryHost spare = primary.second(slot);
            hosts =
                    spare == null
                            ? List.of(primary.first(slot), secondary.first(slot))
                            : List.of(primary.first(slot), secondary.first(slot), spare);
        } else {
            hosts = nearestHosts(snapshot, primary != null ? primary : secondary, block, slot);
        }
        return new LookupResponse(
                service,
                block,
                hosts,
                nowMillis + settings.lookupLifetimeMillis(),
                snapshot.version,
                null);
    }

    private static @Nullable ZoneHostTable hosts(Snapshot snapshot, int site) {
        return site == BlockAssignments.NONE ? null : snapshot.hostsBySite[site];
    }

    /** Returns hosts of the nearest zones, for a block with a site whose zone has no hosts. */
    private static List<EntryHost> nearestHosts(
            Snapshot snapshot, @Nullable ZoneHostTable available, int block, int slot) {
        List<EntryHost> hosts = new ArrayList<>(3);
        ZoneHostTable first = available;
        if (available != null) {
            hosts.add(available.first(slot));
        }
        BlockGroups groups = snapshot.groups;
        if (groups != null) {
            for (ZoneHostTable zone :
                    snapshot.hostsByHome.get(groups.home(block >> groups.shift()))) {
                if (hosts.size() < 2 && zone != available) {
                    hosts.add(zone.first(slot));
                    first = first == null ? zone : first;
                }
            }
        }
        if (first != null && first.second(slot) instanceof EntryHost spare) {
            hosts.add(spare);
        }
        return hosts;
    }

    /**
     * Returns the sites of {@code service} in the order in which an ingress should try them for
     * {@code block}: primary, secondary, then the other zones, nearer regions first and in
     * rendezvous order inside a region. The list is empty if the service or block is unknown.
     */
    public List<Site> siteOrder(String service, int block) {
        Snapshot snapshot = mSnapshot;
        ServiceAssignments assignments = snapshot.services.get(service);
        BlockGroups groups = snapshot.groups;
        Settings settings = snapshot.settings;
        if (assignments == null
                || groups == null
                || settings == null
                || block < 0
                || block >= settings.blockCount()) {
            return List.of();
        }
        int group = block >> groups.shift();
        int primary = assignments.blocks.primary(block);
        int secondary = assignments.blocks.secondary(block);
        List<Site> order = new ArrayList<>(assignments.ranking.size());
        for (int number : new int[] {primary, secondary}) {
            if (number != BlockAssignments.NONE) {
                order.add(snapshot.sites.site(number));
            }
        }
        for (int[] tier : assignments.ranking.tiers(groups.home(group))) {
            Arrays.stream(tier)
                    .boxed()
                    .sorted(
                            Comparator.comparingDouble(
                                    (Integer site) -> -assignments.ranking.score(site, group)))
                    .mapToInt(assignments.ranking::number)
                    .filter(number -> number != primary && number != secondary)
                    .forEach(number -> order.add(snapshot.sites.site(number)));
        }
        return order;
    }

    /** Returns the current settings version; 0 means none. */
    public long version() {
        return mSnapshot.version;
    }

    /** Returns the size of the block assignments of all services, in bytes. */
    public long tableBytes() {
        Snapshot snapshot = mSnapshot;
        BlockGroups groups = snapshot.groups;
        long bytes = groups == null ? 0 : groups.bytes();
        for (ServiceAssignments assignments : snapshot.services.values()) {
            bytes += assignments.blocks.bytes();
        }
        return bytes;
    }
}
