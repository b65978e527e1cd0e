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
 * Answers which entry hosts a client block should use, best first.
 *
 * <p>Readers never wait: an update builds new tables beside the old ones and publishes them by one
 * volatile write. Updates wait for each other.
 */
public final class LookupService {

    private record ServiceTable(SiteRanking placement, BlockAssignments blocks) {}

    /** Holds all that a decision reads. Arrays are indexed by site number. */
    private record State(
            long version,
            @Nullable Settings settings,
            @Nullable BlockGroups groups,
            SiteIndex sites,
            Map<String, ServiceTable> services,
            Map<String, ZoneHostTable> hosts,
            @Nullable ZoneHostTable[] hostsBySite,
            List<List<ZoneHostTable>> hostsByHome) {}

    private volatile State mState =
            new State(
                    0,
                    null,
                    null,
                    SiteIndex.empty(),
                    Map.of(),
                    Map.of(),
                    new ZoneHostTable[0],
                    List.of());

    private LookupService() {}

    /** Returns a service that knows no settings yet. */
    public static LookupService create() {
        return new LookupService();
    }

    /** Takes the settings of a version; an older version than the one in force is ignored. */
    public synchronized void update(Settings settings, long version) {
        State old = mState;
        if (version <= old.version) {
            return;
        }
        SiteIndex sites = old.sites.update(settings);
        BlockGroups groups = BlockGroups.of(settings);
        BlockGroups oldGroups = old.groups;
        boolean sameGroups = oldGroups != null && oldGroups.isSame(groups);
        Map<String, ServiceTable> services = new HashMap<>();
        for (String name : settings.services().keySet()) {
            SiteRanking placement = SiteRanking.of(settings, sites, name, groups.regions());
            ServiceTable before = old.services.get(name);
            if (before == null || oldGroups == null) {
                services.put(
                        name, new ServiceTable(placement, BlockAssignments.build(placement, groups)));
            } else if (sameGroups && before.placement.isSame(placement)) {
                services.put(name, before);
            } else {
                services.put(
                        name,
                        new ServiceTable(
                                placement,
                                before.blocks.update(
                                        before.placement, oldGroups, placement, groups)));
            }
        }
        publish(version, settings, sameGroups ? oldGroups : groups, sites, services, old.hosts);
    }

    /** Takes the serving entry hosts of each zone, by zone. */
    public synchronized void updateHosts(Map<String, List<EntryHost>> hostsByZone) {
        State old = mState;
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
            Map<String, ServiceTable> services,
            Map<String, ZoneHostTable> hosts) {
        @Nullable ZoneHostTable[] bySite = new ZoneHostTable[sites.limit()];
        List<List<ZoneHostTable>> byHome = new ArrayList<>();
        if (settings != null && groups != null) {
            for (Site site : settings.sites()) {
                bySite[sites.number(site)] = hosts.get(site.zone());
            }
            for (String home : groups.regions()) {
                byHome.add(nearest(settings, home, hosts));
            }
        }
        mState = new State(version, settings, groups, sites, services, hosts, bySite, byHome);
    }

    /** Returns the zones that have entry hosts, nearest to {@code home} first. */
    private static List<ZoneHostTable> nearest(
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
     * Returns the answer for {@code block}, without a token, or null if the service or the block is
     * unknown or there are no settings yet. The list of entry hosts is empty only if no zone has
     * any; it names at least two in different zones where there are any.
     */
    public @Nullable LookupResponse lookup(String service, int block, long nowMillis) {
        State state = mState;
        ServiceTable table = state.services.get(service);
        Settings settings = state.settings;
        if (table == null || settings == null || block < 0 || block >= settings.blockCount()) {
            return null;
        }
        int slot = ZoneHostTable.slot(block);
        ZoneHostTable primary = hosts(state, table.blocks.primary(block));
        ZoneHostTable secondary = hosts(state, table.blocks.secondary(block));
        List<EntryHost> hosts;
        if (primary != null && secondary != null) {
            EntryHost spare = primary.second(slot);
            hosts =
                    spare == null
                            ? List.of(primary.first(slot), secondary.first(slot))
                            : List.of(primary.first(slot), secondary.first(slot), spare);
        } else {
            hosts = fallback(state, primary != null ? primary : secondary, block, slot);
        }
        return new LookupResponse(
                service,
                block,
                hosts,
                nowMillis + settings.lookupLifetimeMillis(),
                state.version,
                null);
    }

    private static @Nullable ZoneHostTable hosts(State state, int site) {
        return site == BlockAssignments.NONE ? null : state.hostsBySite[site];
    }

    /** Names hosts of the nearest zones, because a site's own zone has none. */
    private static List<EntryHost> fallback(
            State state, @Nullable ZoneHostTable known, int block, int slot) {
        List<EntryHost> hosts = new ArrayList<>(3);
        ZoneHostTable first = known;
        if (known != null) {
            hosts.add(known.first(slot));
        }
        BlockGroups groups = state.groups;
        if (groups != null) {
            for (ZoneHostTable zone : state.hostsByHome.get(groups.home(block >> groups.shift()))) {
                if (hosts.size() < 2 && zone != known) {
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
        State state = mState;
        ServiceTable table = state.services.get(service);
        BlockGroups groups = state.groups;
        Settings settings = state.settings;
        if (table == null
                || groups == null
                || settings == null
                || block < 0
                || block >= settings.blockCount()) {
            return List.of();
        }
        int group = block >> groups.shift();
        int primary = table.blocks.primary(block);
        int secondary = table.blocks.secondary(block);
        List<Site> order = new ArrayList<>(table.placement.size());
        for (int number : new int[] {primary, secondary}) {
            if (number != BlockAssignments.NONE) {
                order.add(state.sites.site(number));
            }
        }
        for (int[] tier : table.placement.tiers(groups.home(group))) {
            Arrays.stream(tier)
                    .boxed()
                    .sorted(
                            Comparator.comparingDouble(
                                    (Integer site) -> -table.placement.score(site, group)))
                    .mapToInt(table.placement::number)
                    .filter(number -> number != primary && number != secondary)
                    .forEach(number -> order.add(state.sites.site(number)));
        }
        return order;
    }

    /** Returns the settings version in force; 0 means none. */
    public long version() {
        return mState.version;
    }

    /** Returns the bytes that the tables of all services take. */
    public long tableBytes() {
        State state = mState;
        BlockGroups groups = state.groups;
        long bytes = groups == null ? 0 : groups.bytes();
        for (ServiceTable table : state.services.values()) {
            bytes += table.blocks.bytes();
        }
        return bytes;
    }
}
