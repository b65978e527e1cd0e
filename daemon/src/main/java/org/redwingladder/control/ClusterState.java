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
 * Holds what this process knows of the cluster and shows it to the request path and to other
 * drivers. Changes are published as one immutable snapshot before listeners are told.
 */
public final class ClusterState implements ClusterView, Membership, SettingsSink {
    private static final int STEWARDS = 2;

    private final Member mSelf;
    private final String mZone;
    private final ControlLoop mLoop;
    private final ZoneDirectory mDirectory = ZoneDirectory.create();
    private final LookupService mLookup = LookupService.create();
    private final List<ClusterListener> mListeners = new CopyOnWriteArrayList<>();
    private final List<PeerVersionListener> mVersionListeners = new CopyOnWriteArrayList<>();
    private final Map<String, SiteTransfer> mStarts = new HashMap<>();
    private final Map<String, Long> mStartedAtNanos = new HashMap<>();
    private volatile ClusterSnapshot mSnapshot;
    private volatile boolean mStopping;
    private volatile boolean mJoined;

    private ClusterState(Member self, String zone, ControlLoop loop) {
        mSelf = self;
        mZone = zone;
        mLoop = loop;
        mSnapshot = ClusterSnapshot.empty(self, zone);
    }

    /** Returns the state of a process that knows nobody yet. */
    public static ClusterState create(Member self, String zone, ControlLoop loop) {
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
            return new Readiness(Readiness.State.STOPPING, "a planned stop is under way");
        }
        List<String> reasons = notReady();
        return reasons.isEmpty()
                ? new Readiness(Readiness.State.READY, "")
                : new Readiness(Readiness.State.NOT_READY, String.join("; ", reasons));
    }

    /** Returns why this process is not ready; empty if it is. */
    public List<String> notReady() {
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
            reasons.add("settings: none are known yet");
        } else if (snapshot.version() < floor) {
            reasons.add("settings: version " + snapshot.version() + " is below the floor " + floor);
        }
        return reasons;
    }

    /** Shows that a planned stop has begun. */
    public void stopping() {
        mStopping = true;
        tellListeners();
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
        // Callers may have read the clock before: an instant of now would be in their future.
        return mLoop.toNanos(until == Long.MIN_VALUE ? -1 : until);
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
    public List<Member> stewards(String zone) {
        ZoneSummary summary = mDirectory.zone(zone);
        return summary == null
                ? List.of()
                : summary.members().stream().filter(Member::serving).limit(STEWARDS).toList();
    }

    @Override
    public boolean isSteward() {
        return stewards(mZone).stream().anyMatch(steward -> steward.id().equals(mSelf.id()));
    }

    @Override
    public List<String> zones() {
        return mDirectory.zones().stream().map(ZoneSummary::zone).toList();
    }

    @Override
    public void addPeerVersionListener(PeerVersionListener listener) {
        mVersionListeners.add(listener);
    }

    /** Passes on by which settings version another member serves. */
    void peerVersion(MemberId member, String peerAddress, long version) {
        mVersionListeners.forEach(listener -> listener.heard(member, peerAddress, version));
    }

    /**
     * Takes the state of the roster machine, and what it asked for since the last call. When this
     * method returns, sites that were stopped are no longer shown to the request path.
     *
     * @return completes when no more requests are sent for the stopped sites, with the number of
     *     those still in flight by service
     */
    synchronized CompletableFuture<Map<String, Integer>> roster(
            MembershipView view, List<MembershipEffect> effects) {
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.StartSite start) {
                mStarts.put(start.service(), start.start());
                mStartedAtNanos.putIfAbsent(start.service(), System.nanoTime());
            } else if (effect instanceof MembershipEffect.StopSite stop) {
                mStarts.remove(stop.service());
                mStartedAtNanos.remove(stop.service());
            }
        }
        ClusterSnapshot before = mSnapshot;
        mJoined |= view.member();
        boolean structural = effects.stream().anyMatch(ClusterState::changesStructure);
        if (!structural) {
            mSnapshot = before.withView(view);
            if (before.view().leaseExpiresAt() != view.leaseExpiresAt()) {
                tellListeners();
            }
            return CompletableFuture.completedFuture(Map.of());
        }
        if (view.roster() != null) {
            mDirectory.merge(List.of(ZoneSummary.of(view.roster())));
        }
        mSnapshot = before.withView(view).rebuild(mDirectory, carriedOver(before.settings()));
        CompletableFuture<Map<String, Integer>> stopped = stopped(effects);
        publishHosts();
        return stopped;
    }

    private CompletableFuture<Map<String, Integer>> stopped(List<MembershipEffect> effects) {
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
                .thenApply(done -> inFlight);
    }

    private static boolean changesStructure(MembershipEffect effect) {
        return effect instanceof MembershipEffect.StartSite
                || effect instanceof MembershipEffect.StopSite
                || effect instanceof MembershipEffect.RosterAdopted;
    }

    /** Takes summaries of other zones; returns whether any was newer. */
    synchronized boolean zoneSummaries(Collection<ZoneSummary> summaries) {
        List<ZoneSummary> others =
                summaries.stream().filter(summary -> !summary.zone().equals(mZone)).toList();
        if (!mDirectory.merge(others)) {
            return false;
        }
        mSnapshot = mSnapshot.rebuild(mDirectory, carriedOver(mSnapshot.settings()));
        publishHosts();
        return true;
    }

    /** Takes the hosts that the platform's list names as leaving. */
    synchronized void leaving(Set<String> hosts) {
        if (mSnapshot.leaving().equals(hosts)) {
            return;
        }
        mSnapshot =
                mSnapshot
                        .withLeaving(Set.copyOf(hosts))
                        .rebuild(mDirectory, carriedOver(mSnapshot.settings()));
        publishHosts();
    }

    /** Passes on what a backend server said of its load. */
    void loadReport(String service, String backend, LoadReport report) {
        mListeners.forEach(listener -> listener.loadReported(service, backend, report));
    }

    @Override
    public synchronized void settings(NavigableMap<Long, Settings> versions, ZoneAcks acks) {
        if (versions.isEmpty() || versions.lastKey() < mSnapshot.version()) {
            return;
        }
        boolean newVersion = versions.lastKey() > mSnapshot.version();
        NavigableMap<Long, Settings> copy = new TreeMap<>(versions);
        Settings inForce = copy.lastEntry().getValue();
        mSnapshot = mSnapshot.withSettings(copy, acks).rebuild(mDirectory, carriedOver(inForce));
        if (newVersion) {
            mLookup.update(inForce, copy.lastKey());
        }
        publishHosts();
    }

    @Override
    public void noSettings() {
        // There is nothing to show, as before.
    }

    /** Returns the settings in force, null before the first. */
    public @Nullable Settings settingsInForce() {
        return mSnapshot.settings();
    }

    /** Returns whether this process may act as an owner now. */
    public boolean isConfirmed() {
        return ownerLeaseExpiryNanos() - System.nanoTime() > 0;
    }

    /** Returns the services with a site in this zone, as the settings in force name them. */
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

    private Map<String, ClusterSnapshot.CarriedOver> carriedOver(@Nullable Settings settings) {
        Map<String, ClusterSnapshot.CarriedOver> work = new HashMap<>();
        mStarts.forEach(
                (service, start) -> {
                    Service spec = settings == null ? null : settings.services().get(service);
                    if (spec == null) {
                        return;
                    }
                    long longest = TimeUnit.MILLISECONDS.toNanos(spec.maxRequestMillis());
                    long startedAt = mStartedAtNanos.getOrDefault(service, System.nanoTime());
                    work.put(
                            service,
                            switch (start) {
                                case SiteTransfer.Initial fresh -> ClusterSnapshot.CarriedOver.NONE;
                                case SiteTransfer.HandedOver released ->
                                        new ClusterSnapshot.CarriedOver(
                                                released.inFlight(), startedAt + longest);
                                case SiteTransfer.FailedOver taken ->
                                        new ClusterSnapshot.CarriedOver(
                                                Integer.MAX_VALUE,
                                                mLoop.toNanos(taken.stoppedBy()) + longest);
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
        tellListeners();
    }

    private void tellListeners() {
        mListeners.forEach(ClusterListener::changed);
    }
}
