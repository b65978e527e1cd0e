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

/** Holds one consistent state of the cluster as this process knows it. */
final class ClusterSnapshot {
    // Two zones of one region are about a millisecond apart; regions without a stated distance are
    // the last to try.
    private static final double LEAST_MILLIS = 1;
    private static final double MOST_MILLIS = 1000;

    private final Member mSelf;
    private final String mZone;
    private final MembershipView mView;
    private final NavigableMap<Long, Settings> mVersions;
    private final ZoneAcks mAcks;
    private final Set<String> mLeaving;
    private final Derived mDerived;

    /**
     * Holds what is computed from the rest.
     *
     * @param members the members of each zone
     * @param hosts the hosts of all zones by name
     * @param services what the request path needs to know of each service
     * @param sites what it needs to know of each owned site
     * @param owners the owners by zone and service, filled in when first asked for
     */
    private record Derived(
            Map<String, List<Member>> members,
            Map<String, ClusterView.Peer> hosts,
            Map<String, ServiceSpec> services,
            Map<String, SiteSpec> sites,
            Map<String, Map<String, ClusterView.Peer>> owners) {}

    /**
     * Counts a former owner's work at a site.
     *
     * @param count how many of its requests may run
     * @param untilNanos until when they may run
     */
    record CarriedOver(int count, long untilNanos) {
        static final CarriedOver NONE = new CarriedOver(0, System.nanoTime());
    }

    private ClusterSnapshot(
            ClusterSnapshot other,
            MembershipView view,
            NavigableMap<Long, Settings> versions,
            ZoneAcks acks,
            Set<String> leaving,
            Derived derived) {
        mSelf = other.mSelf;
        mZone = other.mZone;
        mView = view;
        mVersions = versions;
        mAcks = acks;
        mLeaving = leaving;
        mDerived = derived;
    }

    private ClusterSnapshot(Member self, String zone) {
        mSelf = self;
        mZone = zone;
        mView = new MembershipView(null, false, Set.of(), Long.MIN_VALUE);
        mVersions = new TreeMap<>();
        mAcks = ZoneAcks.of(0, Map.of());
        mLeaving = Set.of();
        mDerived = new Derived(Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    static ClusterSnapshot empty(Member self, String zone) {
        return new ClusterSnapshot(self, zone);
    }

    ClusterSnapshot withView(MembershipView view) {
        return new ClusterSnapshot(this, view, mVersions, mAcks, mLeaving, mDerived);
    }

    ClusterSnapshot withSettings(NavigableMap<Long, Settings> versions, ZoneAcks acks) {
        return new ClusterSnapshot(this, mView, versions, acks, mLeaving, mDerived);
    }

    ClusterSnapshot withLeaving(Set<String> leaving) {
        return new ClusterSnapshot(this, mView, mVersions, mAcks, leaving, mDerived);
    }

    /**
     * Returns this state with everything computed anew.
     *
     * @param carriedOver what counts of a former owner's work, by started service
     */
    ClusterSnapshot rebuild(ZoneDirectory directory, Map<String, CarriedOver> carriedOver) {
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
                    CarriedOver work = carriedOver.getOrDefault(service, CarriedOver.NONE);
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
                new Derived(members, hosts, services, sites, owners));
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
        return mDerived.services().get(name);
    }

    List<String> owned() {
        return new ArrayList<>(mDerived.sites().keySet());
    }

    @Nullable SiteSpec site(String service) {
        return mDerived.sites().get(service);
    }

    ClusterView.@Nullable Peer host(String name) {
        return mDerived.hosts().get(name);
    }

    ClusterView.@Nullable Peer ownerOf(String zone, String service) {
        Map<String, ClusterView.Peer> owners = mDerived.owners().get(zone);
        List<Member> members = mDerived.members().get(zone);
        if (owners == null || members == null || !mDerived.services().containsKey(service)) {
            return null;
        }
        ClusterView.Peer known = owners.get(service);
        if (known == null) {
            Member owner = Ownership.ownerOf(members, service);
            if (owner == null) {
                return null;
            }
            known = peer(owner, zone);
            owners.put(service, known);
        }
        return known;
    }

    private static ClusterView.Peer peer(Member member, String zone) {
        return new ClusterView.Peer(
                member.host(), member.incarnation(), zone, Addresses.parse(member.peerAddress()));
    }

    /** Returns how long a message and its answer travel between two zones. */
    long roundTripNanos(String from, String to) {
        Settings settings = settings();
        String near = settings == null ? null : settings.regionOf(from);
        String far = settings == null ? null : settings.regionOf(to);
        if (settings == null || from.equals(to) || near == null || far == null) {
            return 0;
        }
        double oneWay = Math.clamp(settings.oneWayMillis(near, far), LEAST_MILLIS, MOST_MILLIS);
        return (long) (2 * oneWay * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
