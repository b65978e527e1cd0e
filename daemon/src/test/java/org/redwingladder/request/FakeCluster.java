package org.redwingladder.request;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.http.Addresses;
import org.redwingladder.limits.SiteCap;
import org.redwingladder.routing.BackendSpec;
import org.redwingladder.routing.SiteConfig;

/** The state of a cluster with one service, shared by all hosts of a test. */
final class FakeCluster {
    static final String SERVICE = "shop";

    final Map<String, InetSocketAddress> mPeerAddresses = new ConcurrentHashMap<>();
    final Map<String, InetSocketAddress> mClientAddresses = new ConcurrentHashMap<>();
    final Map<String, String> mOwnerByZone = new ConcurrentHashMap<>(new LinkedHashMap<>());
    final Map<String, Map<String, InetSocketAddress>> mBackendsByZone = new ConcurrentHashMap<>();
    final List<String> mZones = new CopyOnWriteArrayList<>();
    final List<View> mViews = new CopyOnWriteArrayList<>();
    volatile List<SiteCap> mCaps = List.of();
    volatile int mSlots = 8;
    volatile long mMaxRequestMillis = 10_000;

    View view(String host, String zone) {
        View view = new View(new ClusterView.Self(host, 1, zone));
        mViews.add(view);
        return view;
    }

    /** Notifies the hosts of a change of the fields. */
    void changed() {
        mViews.forEach(view -> view.mListeners.forEach(ClusterListener::changed));
    }

    /** The cluster as seen by one host. */
    final class View implements ClusterView {
        private final Self mSelf;
        private final List<ClusterListener> mListeners = new CopyOnWriteArrayList<>();
        volatile long mOwnerLeaseNanos = TimeUnit.SECONDS.toNanos(30);
        volatile Readiness mReadiness = new Readiness(Readiness.State.READY, "");

        View(Self self) {
            mSelf = self;
        }

        @Override
        public Self self() {
            return mSelf;
        }

        @Override
        public Readiness readiness() {
            return mReadiness;
        }

        @Override
        public long settingsVersion() {
            return 7;
        }

        @Override
        public int blockCount() {
            return 1000;
        }

        @Override
        public ServiceSpec service(String name) {
            return SERVICE.equals(name)
                    ? new ServiceSpec(SERVICE, mMaxRequestMillis, List.of())
                    : null;
        }

        @Override
        public List<String> candidateZones(String service, int block) {
            return mZones;
        }

        @Override
        public LookupResponse lookup(String service, int block, long nowMillis) {
            List<EntryHost> hosts = new ArrayList<>();
            mClientAddresses.forEach(
                    (host, address) ->
                            hosts.add(new EntryHost(host, "any", Addresses.format(address))));
            return new LookupResponse(service, block, hosts, nowMillis + 5000, 7, null);
        }

        @Override
        public Peer ownerOf(String zone, String service) {
            String host = mOwnerByZone.get(zone);
            return host == null ? null : host(host);
        }

        @Override
        public Peer host(String name) {
            InetSocketAddress address = mPeerAddresses.get(name);
            return address == null ? null : new Peer(name, 1, "zone", address);
        }

        @Override
        public Collection<String> ownedServices() {
            return mSelf.host().equals(mOwnerByZone.get(mSelf.zone()))
                    ? List.of(SERVICE)
                    : List.of();
        }

        @Override
        public SiteSpec ownedSite(String service) {
            Map<String, InetSocketAddress> backends = mBackendsByZone.get(mSelf.zone());
            List<BackendSpec> specs = new ArrayList<>();
            backends.keySet().forEach(name -> specs.add(new BackendSpec(name, mSlots, 800, false)));
            Map<String, String> regions = new HashMap<>();
            mZones.forEach(zone -> regions.put(zone, "region"));
            return new SiteSpec(
                    new SiteConfig(
                            SERVICE,
                            TimeUnit.MILLISECONDS.toNanos(mMaxRequestMillis),
                            0,
                            66,
                            specs),
                    backends,
                    regions,
                    mCaps,
                    Map.of(),
                    0);
        }

        @Override
        public long ownerLeaseExpiryNanos() {
            return System.nanoTime() + mOwnerLeaseNanos;
        }

        @Override
        public void addListener(ClusterListener listener) {
            mListeners.add(listener);
        }
    }
}
