package org.redwingladder.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MembershipView;
import org.redwingladder.membership.Ownership;
import org.redwingladder.membership.Roster;
import org.redwingladder.membership.ZoneDirectory;
import org.redwingladder.membership.ZoneSummary;
import org.redwingladder.request.ClusterView;
import org.redwingladder.request.ServiceSpec;
import org.redwingladder.request.SiteSpec;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;
import org.redwingladder.settings.SiteQuotas;
import org.redwingladder.settings.ZoneAcks;

/** Immutable, consistent snapshot of the cluster as this process knows it. */
final class ClusterSnapshot {
    // Two zones of one region are about 1 ms apart. Regions without a configured distance get the
    // upper bound, so that they are tried last.
    private static final double MIN_ONE_WAY_MILLIS = 1;
    private static final double MAX_ONE_WAY_MILLIS = 1000;

    private final Member mSelf;
    private final String mZone;
    private final MembershipView mView;
    private final NavigableMap<Long, Settings> mVersions;
    private final ZoneAcks mAcks;
    private final Set<String> mLeaving;
    private final Indexes mIndexes;

    /**
     * Indexes that are derived from the other fields.
     *
     * @param members the members by zone
     * @param hosts the hosts of all zones by host name
     * @param services the service specifications by service
     * @param sites the specifications of the owned sites by service
     * @param owners cache of site owners by zone and service, filled on first use
     */
    private record Indexes(
            Map<String, List<Member>> members,
            Map<String, ClusterView.Peer> hosts,
            Map<String, ServiceSpec> services,
            Map<String, SiteSpec> sites,
            Map<String, Map<String, ClusterView.Peer>> owners) {}

    /**
     * Requests of a site's former owner that may still be running.
     *
     * @param count the highest possible number of these requests
     * @param untilNanos the {@link System#nanoTime} by which all of them have ended
     */
    record InheritedWork(int count, long untilNanos) {
        static final InheritedWork NONE = new InheritedWork(0, System.nanoTime());
    }

    private ClusterSnapshot(
            ClusterSnapshot other,
            MembershipView view,
            NavigableMap<Long, Settings> versions,
            ZoneAcks acks,
            Set<String> leaving,
            Indexes indexes) {
        mSelf = other.mSelf;
        mZone = other.mZone;
        mView = view;
        mVersions = versions;
        mAcks = acks;
        mLeaving = leaving;
        mIndexes = indexes;
    }

    private ClusterSnapshot(Member self, String zone) {
        mSelf = self;
        mZone = zone;
        mView = new MembershipView(null, false, Set.of(), Long.MIN_VALUE);
        mVersions = new TreeMap<>();
        mAcks = ZoneAcks.of(0, Map.of());
        mLeaving = Set.of();
        mIndexes = new Indexes(Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    static ClusterSnapshot empty(Member self, String zone) {
        return new ClusterSnapshot(self, zone);
    }

    ClusterSnapshot withView(MembershipView view) {
        return new ClusterSnapshot(this, view, mVersions, mAcks, mLeaving, mIndexes);
    }

    ClusterSnapshot withSettings(NavigableMap<Long, Settings> versions, ZoneAcks acks) {
        return new ClusterSnapshot(this, mView, versions, acks, mLeaving, mIndexes);
    }

    ClusterSnapshot withLeaving(Set<String> leaving) {
        return new ClusterSnapshot(this, mView, mVersions, mAcks, leaving, mIndexes);
    }

    /**
     * Returns a copy of this snapshot with all indexes recomputed.
     *
     * @param inheritedWork the former owners' requests by service, for the sites that were started
     */
    ClusterSnapshot rebuild(ZoneDirectory directory, Map<String, InheritedWork> inheritedWork) {
        Map<String, List<Member>> members = new HashMap<>();
        Map<String, ClusterView.Peer> hosts = new HashMap<>();
        Map<String, Map<String, ClusterView.Peer>> owners = new HashMap<>();
        for (ZoneSummary summary : directory.zones()) {
            members.put(summary.zone(), summary.members());
            owners.put(summary.zone(), new ConcurrentHashMap<>());
            for (Member member : summary.members()) {
                hosts.put(member.host(), peer(member, summary.zone()));
            }
        }
        Map<String, ServiceSpec> services = new HashMap<>();
        Map<String, SiteSpec> sites = new HashMap<>();
        Settings settings = settings();
        if (settings != null) {
            settings.services().forEach((name, s) -> services.put(name, ServiceSpec.of(name, s)));
            for (String service : mView.sites()) {
                Site site = new Site(service, mZone);
                if (settings.sites().contains(site)) {
                    SiteQuotas parts = SiteQuotas.of(mVersions, mAcks, site);
                    InheritedWork work = inheritedWork.getOrDefault(service, InheritedWork.NONE);
                    sites.put(
                            service,
                            SiteSpec.of(
                                    settings,
                                    site,
                                    parts,
                                    mLeaving,
                                    work.untilNanos(),
                                    work.count()));
                }
            }
        }
        return new ClusterSnapshot(
                this,
                mView,
                mVersions,
                mAcks,
                mLeaving,
                new Indexes(members, hosts, services, sites, owners));
    }

    MembershipView view() {
        return mView;
    }

    @Nullable Roster roster() {
        return mView.roster();
    }

    @Nullable Settings settings() {
        return mVersions.isEmpty() ? null : mVersions.lastEntry().getValue();
    }

    long version() {
        return mVersions.isEmpty() ? 0 : mVersions.lastKey();
    }

    ZoneAcks acks() {
        return mAcks;
    }

    Set<String> leaving() {
        return mLeaving;
    }

    @Nullable ServiceSpec service(String name) {
        return mIndexes.services().get(name);
    }

    List<String> owned() {
        return new ArrayList<>(mIndexes.sites().keySet());
    }

    @Nullable SiteSpec site(String service) {
        return mIndexes.sites().get(service);
    }

    ClusterView.@Nullable Peer host(String name) {
        return mIndexes.hosts().get(name);
    }

    ClusterView.@Nullable Peer ownerOf(String zone, String service) {
        Map<String, ClusterView.Peer> owners = mIndexes.owners().get(zone);
        List<Member> members = mIndexes.members().get(zone);
        if (owners == null || members == null || !mIndexes.services().containsKey(service)) {
            return null;
        }
        ClusterView.Peer cached = owners.get(service);
        if (cached == null) {
            Member owner = Ownership.ownerOf(members, service);
            if (owner == null) {
                return null;
            }
            cached = peer(owner, zone);
            owners.put(service, cached);
        }
        return cached;
    }

    private static ClusterView.Peer peer(Member member, String zone) {
        return new ClusterView.Peer(
                member.host(), member.incarnation(), zone, Addresses.parse(member.peerAddress()));
    }

    /** Returns the network round-trip time between two zones; 0 if their distance is unknown. */
    long roundTripNanos(String from, String to) {
        Settings settings = settings();
        String fromRegion = settings == null ? null : settings.regionOf(from);
        String toRegion = settings == null ? null : settings.regionOf(to);
        if (settings == null || from.equals(to) || fromRegion == null || toRegion == null) {
            return 0;
        }
        double oneWay =
                Math.clamp(
                        settings.oneWayMillis(fromRegion, toRegion),
                        MIN_ONE_WAY_MILLIS,
                        MAX_ONE_WAY_MILLIS);
        return (long) (2 * oneWay * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
