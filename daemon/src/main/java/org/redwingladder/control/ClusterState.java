package org.redwingladder.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.lookup.LookupService;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MemberId;
import org.redwingladder.membership.MembershipEffect;
import org.redwingladder.membership.MembershipView;
import org.redwingladder.membership.Roster;
import org.redwingladder.membership.SiteTransfer;
import org.redwingladder.membership.ZoneDirectory;
import org.redwingladder.membership.ZoneSummary;
import org.redwingladder.request.ClusterListener;
import org.redwingladder.request.ClusterView;
import org.redwingladder.request.ServiceSpec;
import org.redwingladder.request.SiteSpec;
import org.redwingladder.routing.LoadReport;
import org.redwingladder.settings.Service;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;
import org.redwingladder.settings.ZoneAcks;

/**
 * This process's view of the cluster, for the request pipeline and the control components. Each
 * change is published as one immutable snapshot before the listeners are notified.
 */
public final class ClusterState implements ClusterView, ZoneMembership, SettingsListener {
    private static final int COORDINATORS = 2;

    private final Member mSelf;
    private final String mZone;
    private final ControlEventLoop mLoop;
    private final ZoneDirectory mDirectory = ZoneDirectory.create();
    private final LookupService mLookup = LookupService.create();
    private final List<ClusterListener> mListeners = new CopyOnWriteArrayList<>();
    private final List<PeerVersionListener> mVersionListeners = new CopyOnWriteArrayList<>();
    private final Map<String, SiteTransfer> mSiteStarts = new HashMap<>();
    private final Map<String, Long> mStartedAtNanos = new HashMap<>();
    private volatile ClusterSnapshot mSnapshot;
    private volatile boolean mStopping;
    private volatile boolean mJoined;

    private ClusterState(Member self, String zone, ControlEventLoop loop) {
        mSelf = self;
        mZone = zone;
        mLoop = loop;
        mSnapshot = ClusterSnapshot.empty(self, zone);
    }

    /** Returns a state without any members or settings. */
    public static ClusterState create(Member self, String zone, ControlEventLoop loop) {
        return new ClusterState(self, zone, loop);
    }

    /** Returns the summaries of all zones. */
    public ZoneDirectory directory() {
        return mDirectory;
    }

    @Override
    public Self self() {
        return new Self(mSelf.host(), mSelf.incarnation(), mZone);
    }

    @Override
    public Member member() {
        return mSelf;
    }

    @Override
    public Readiness readiness() {
        if (mStopping) {
            return new Readiness(Readiness.State.STOPPING, "a graceful shutdown is in progress");
        }
        List<String> reasons = notReadyReasons();
        return reasons.isEmpty()
                ? new Readiness(Readiness.State.READY, "")
                : new Readiness(Readiness.State.NOT_READY, String.join("; ", reasons));
    }

    /** Returns why this process is not ready for requests; empty if it is ready. */
    public List<String> notReadyReasons() {
        ClusterSnapshot snapshot = mSnapshot;
        Roster roster = snapshot.roster();
        List<String> reasons = new ArrayList<>();
        if (roster == null) {
            reasons.add("roster: the roster of zone " + mZone + " has not been read yet");
        } else if (!mJoined) {
            reasons.add("roster: epoch " + roster.epoch() + " does not list this process yet");
        }
        long floor = roster == null ? 0 : roster.settingsFloor();
        if (snapshot.version() == 0) {
            reasons.add("settings: none have been received yet");
        } else if (snapshot.version() < floor) {
            reasons.add("settings: version " + snapshot.version() + " is below the floor " + floor);
        }
        return reasons;
    }

    /** Marks the process as shutting down, so that its readiness becomes {@code STOPPING}. */
    public void markStopping() {
        mStopping = true;
        notifyListeners();
    }

    @Override
    public long settingsVersion() {
        return mSnapshot.version();
    }

    @Override
    public int blockCount() {
        Settings settings = mSnapshot.settings();
        return settings == null ? 0 : settings.blockCount();
    }

    @Override
    public @Nullable ServiceSpec service(String name) {
        return mSnapshot.service(name);
    }

    @Override
    public List<String> candidateZones(String service, int block) {
        return mLookup.siteOrder(service, block).stream().map(Site::zone).toList();
    }

    @Override
    public long roundTripNanos(String zone) {
        return mSnapshot.roundTripNanos(mZone, zone);
    }

    @Override
    public @Nullable LookupResponse lookup(String service, int block, long nowMillis) {
        return mLookup.lookup(service, block, nowMillis);
    }

    @Override
    public @Nullable Peer ownerOf(String zone, String service) {
        return mSnapshot.ownerOf(zone, service);
    }

    @Override
    public @Nullable Peer host(String name) {
        return mSnapshot.host(name);
    }

    @Override
    public Collection<String> ownedServices() {
        return mSnapshot.owned();
    }

    @Override
    public @Nullable SiteSpec ownedSite(String service) {
        return mSnapshot.site(service);
    }

    @Override
    public long ownerLeaseExpiryNanos() {
        long until = mSnapshot.view().leaseExpiresAt();
        // Without a lease, -1 is in the past even for callers that read the clock before this call.
        return mLoop.toNanoTime(until == Long.MIN_VALUE ? -1 : until);
    }

    @Override
    public void addListener(ClusterListener listener) {
        mListeners.add(listener);
    }

    @Override
    public String zone() {
        return mZone;
    }

    @Override
    public @Nullable Roster roster() {
        return mSnapshot.roster();
    }

    @Override
    public List<Member> coordinators(String zone) {
        ZoneSummary summary = mDirectory.zone(zone);
        return summary == null
                ? List.of()
                : summary.members().stream().filter(Member::serving).limit(COORDINATORS).toList();
    }

    @Override
    public boolean isCoordinator() {
        return coordinators(mZone).stream().anyMatch(member -> member.id().equals(mSelf.id()));
    }

    @Override
    public List<String> knownZones() {
        return mDirectory.zones().stream().map(ZoneSummary::zone).toList();
    }

    @Override
    public void addPeerVersionListener(PeerVersionListener listener) {
        mVersionListeners.add(listener);
    }

    /** Notifies listeners of the settings version that another member has active. */
    void reportPeerVersion(MemberId member, String peerAddress, long version) {
        mVersionListeners.forEach(l -> l.versionReported(member, peerAddress, version));
    }

    /**
     * Applies the roster machine's state and effects. Stopped sites are no longer visible to the
     * request pipeline once this method returns.
     *
     * @return completes once no more requests are sent for the stopped sites, with the number of
     *     requests in flight by service
     */
    synchronized CompletableFuture<Map<String, Integer>> applyRoster(
            MembershipView view, List<MembershipEffect> effects) {
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.StartSite start) {
                mSiteStarts.put(start.service(), start.start());
                mStartedAtNanos.putIfAbsent(start.service(), System.nanoTime());
            } else if (effect instanceof MembershipEffect.StopSite stop) {
                mSiteStarts.remove(stop.service());
                mStartedAtNanos.remove(stop.service());
            }
        }
        ClusterSnapshot before = mSnapshot;
        mJoined |= view.member();
        boolean topologyChanged = effects.stream().anyMatch(ClusterState::changesTopology);
        if (!topologyChanged) {
            mSnapshot = before.withView(view);
            if (before.view().leaseExpiresAt() != view.leaseExpiresAt()) {
                notifyListeners();
            }
            return CompletableFuture.completedFuture(Map.of());
        }
        if (view.roster() != null) {
            mDirectory.merge(List.of(ZoneSummary.of(view.roster())));
        }
        mSnapshot = before.withView(view).rebuild(mDirectory, inheritedWork(before.settings()));
        CompletableFuture<Map<String, Integer>> drained = stopSites(effects);
        publishHosts();
        return drained;
    }

    private CompletableFuture<Map<String, Integer>> stopSites(List<MembershipEffect> effects) {
        Map<String, Integer> inFlight = new ConcurrentHashMap<>();
        List<CompletableFuture<?>> pending = new ArrayList<>();
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.StopSite stop) {
                for (ClusterListener listener : mListeners) {
                    pending.add(
                            listener.stopSite(stop.service())
                                    .thenAccept(
                                            n -> inFlight.merge(stop.service(), n, Integer::sum)));
                }
            }
        }
        return CompletableFuture.allOf(pending.toArray(CompletableFuture<?>[]::new))
                .thenApply(ignored -> inFlight);
    }

    private static boolean changesTopology(MembershipEffect effect) {
        return effect instanceof MembershipEffect.StartSite
                || effect instanceof MembershipEffect.StopSite
                || effect instanceof MembershipEffect.RosterAdopted;
    }

    /** Merges summaries of other zones; returns whether any was newer than the known one. */
    synchronized boolean mergeZoneSummaries(Collection<ZoneSummary> summaries) {
        List<ZoneSummary> others = summaries.stream().filter(s -> !s.zone().equals(mZone)).toList();
        if (!mDirectory.merge(others)) {
            return false;
        }
        mSnapshot = mSnapshot.rebuild(mDirectory, inheritedWork(mSnapshot.settings()));
        publishHosts();
        return true;
    }

    /** Replaces the set of hosts that the platform's host list marks as leaving. */
    synchronized void updateLeavingHosts(Set<String> hosts) {
        if (mSnapshot.leaving().equals(hosts)) {
            return;
        }
        mSnapshot =
                mSnapshot
                        .withLeaving(Set.copyOf(hosts))
                        .rebuild(mDirectory, inheritedWork(mSnapshot.settings()));
        publishHosts();
    }

    /** Notifies listeners of a backend server's load report. */
    void reportLoad(String service, String backend, LoadReport report) {
        mListeners.forEach(listener -> listener.loadReported(service, backend, report));
    }

    @Override
    public synchronized void settingsUpdated(NavigableMap<Long, Settings> versions, ZoneAcks acks) {
        if (versions.isEmpty() || versions.lastKey() < mSnapshot.version()) {
            return;
        }
        boolean newVersion = versions.lastKey() > mSnapshot.version();
        NavigableMap<Long, Settings> copy = new TreeMap<>(versions);
        Settings active = copy.lastEntry().getValue();
        mSnapshot = mSnapshot.withSettings(copy, acks).rebuild(mDirectory, inheritedWork(active));
        if (newVersion) {
            mLookup.update(active, copy.lastKey());
        }
        publishHosts();
    }

    @Override
    public void noSettingsStored() {
        // Nothing to publish: settings are never removed once they exist.
    }

    /** Returns the active settings; null before the first. */
    public @Nullable Settings activeSettings() {
        return mSnapshot.settings();
    }

    /** Returns whether the owner's lease of this process is valid now. */
    public boolean holdsOwnerLease() {
        return ownerLeaseExpiryNanos() - System.nanoTime() > 0;
    }

    /** Returns the services that have a site in this zone by the active settings. */
    Set<String> servicesHere() {
        Settings settings = mSnapshot.settings();
        Set<String> services = new HashSet<>();
        if (settings != null) {
            for (Map.Entry<String, Service> entry : settings.services().entrySet()) {
                if (entry.getValue().zones().containsKey(mZone)) {
                    services.add(entry.getKey());
                }
            }
        }
        return services;
    }

    private Map<String, ClusterSnapshot.InheritedWork> inheritedWork(@Nullable Settings settings) {
        Map<String, ClusterSnapshot.InheritedWork> work = new HashMap<>();
        mSiteStarts.forEach(
                (service, start) -> {
                    Service spec = settings == null ? null : settings.services().get(service);
                    if (spec == null) {
                        return;
                    }
                    long maxRun = TimeUnit.MILLISECONDS.toNanos(spec.maxRequestMillis());
                    long startedAt = mStartedAtNanos.getOrDefault(service, System.nanoTime());
                    work.put(
                            service,
                            switch (start) {
                                case SiteTransfer.Initial initial ->
                                        ClusterSnapshot.InheritedWork.NONE;
                                case SiteTransfer.HandedOver previous ->
                                        new ClusterSnapshot.InheritedWork(
                                                previous.inFlight(), startedAt + maxRun);
                                case SiteTransfer.FailedOver failed ->
                                        new ClusterSnapshot.InheritedWork(
                                                Integer.MAX_VALUE,
                                                mLoop.toNanoTime(failed.stoppedBy()) + maxRun);
                            });
                });
        return work;
    }

    private void publishHosts() {
        Map<String, List<EntryHost>> byZone = new TreeMap<>();
        Set<String> leaving = mSnapshot.leaving();
        for (ZoneSummary summary : mDirectory.zones()) {
            List<EntryHost> hosts = new ArrayList<>();
            for (Member member : summary.members()) {
                if (member.serving() && !leaving.contains(member.host())) {
                    hosts.add(new EntryHost(member.host(), summary.zone(), member.clientAddress()));
                }
            }
            byZone.put(summary.zone(), hosts);
        }
        mLookup.updateHosts(byZone);
        notifyListeners();
    }

    private void notifyListeners() {
        mListeners.forEach(ClusterListener::changed);
    }
}
