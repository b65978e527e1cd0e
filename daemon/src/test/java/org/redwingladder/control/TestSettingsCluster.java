package org.redwingladder.control;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.handlers.PathHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.HttpClientLimits;
import org.redwingladder.http.Json;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.Roster;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.request.TestListener;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.ZoneAcks;
import org.redwingladder.standin.PlatformOptions;
import org.redwingladder.standin.PlatformServer;
import org.redwingladder.standin.PlatformTable;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Settings replicators that communicate over real sockets, with a platform stand-in that has two
 * listeners: a test can cut off the hosts of one listener from the platform. The test sets the
 * rosters.
 */
final class TestSettingsCluster implements AutoCloseable {
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    final PlatformServer mPlatform =
            PlatformServer.start(new PlatformOptions("127.0.0.1", List.of(0, 0), 0, 0, 0));
    private final XnioWorker mWorker =
            Xnio.getInstance()
                    .createWorker(
                            OptionMap.builder()
                                    .set(Options.WORKER_IO_THREADS, 2)
                                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                    .set(Options.THREAD_DAEMON, true)
                                    .getMap());
    private final DefaultByteBufferPool mBuffers =
            new DefaultByteBufferPool(true, 16 * 1024, 64, 4);
    private final Map<String, Roster> mRosters = new ConcurrentHashMap<>();
    private final List<Host> mHosts = new ArrayList<>();

    TestSettingsCluster() throws IOException {}

    /** Starts a host that uses the platform listener with index {@code listener}, in no roster. */
    Host start(String name, long incarnation, String zone, int listener) throws IOException {
        Host host = new Host(name, incarnation, zone, listener);
        mHosts.add(host);
        return host;
    }

    /** Writes the next roster epoch of {@code zone} with {@code hosts} as its members. */
    void writeRoster(String zone, long floor, Host... hosts) {
        List<Member> members = new ArrayList<>();
        for (Host host : hosts) {
            members.add(host.member());
        }
        Roster before = mRosters.get(zone);
        long epoch = before == null ? 1 : before.epoch() + 1;
        Roster roster = new Roster(zone, epoch, members, epoch, floor, 1000, List.of(), 0);
        JsonNode row = Json.mapper().valueToTree(roster);
        write(Roster.key(zone), row);
        mRosters.put(zone, roster);
    }

    /** Writes a row directly to the table, bypassing injected faults. */
    void write(String key, JsonNode value) {
        mPlatform
                .table()
                .commit(
                        new PlatformTable.Transaction(
                                key + System.nanoTime(),
                                null,
                                List.of(new PlatformTable.Put(key, value)),
                                null));
    }

    /** Returns the acknowledged version of a zone in the table; 0 if it has no row. */
    long ackedVersion(String zone) {
        return mPlatform
                .table()
                .row(SettingsStore.ackKey(zone))
                .map(row -> row.value().path("version").asLong())
                .orElse(0L);
    }

    /** Reports the active version of {@code from} to {@code to}, as a heartbeat would. */
    static void heartbeat(Host from, Host to) {
        long activeVersion = from.activeVersion();
        to.mLoop.execute(
                () ->
                        to.mVersionListeners.forEach(
                                l ->
                                        l.versionReported(
                                                from.member().id(),
                                                from.member().peerAddress(),
                                                activeVersion)),
                cause -> {});
    }

    @Override
    public void close() {
        mHosts.forEach(Host::close);
        mWorker.shutdownNow();
        mPlatform.close();
    }

    /** The settings components of one entry host. */
    final class Host implements ZoneMembership, SettingsListener, AutoCloseable {
        final ControlEventLoop mLoop = ControlEventLoop.create();
        private final MetricRegistry mMetrics = new MetricRegistry();
        final List<PeerVersionListener> mVersionListeners = new CopyOnWriteArrayList<>();
        final List<Long> mActiveVersions = new CopyOnWriteArrayList<>();
        final SettingsReplicator mReplicator;
        final SettingsStore mStore;
        private final AsyncHttpClient mCaller;
        private final TestListener mListener;
        private final Member mMember;
        private final String mZone;
        private volatile @Nullable Settings mSettings;
        volatile long mOldestRetained;

        private Host(String name, long incarnation, String zone, int listener) throws IOException {
            mZone = zone;
            mCaller = AsyncHttpClient.create(mWorker, mBuffers, HttpClientLimits.defaults());
            PathHandler paths = new PathHandler();
            mListener = TestListener.open(ANY, mWorker, mBuffers, paths);
            String address = Addresses.format(mListener.address());
            mMember = new Member(name, incarnation, address, address, Member.State.SERVING);
            PlatformClient platform =
                    PlatformClient.create(
                            mCaller, List.of(Addresses.parse(mPlatform.addresses().get(listener))));
            mStore = new SettingsStore(platform);
            mReplicator =
                    SettingsReplicator.create(
                            this,
                            this,
                            mLoop,
                            mCaller,
                            platform,
                            new SplittableRandom(incarnation),
                            mMetrics);
            SettingsRoutes.addPeer(paths, mReplicator);
            SettingsRoutes.addOperator(paths, mReplicator);
            mReplicator.start(
                    cause -> {
                        throw new AssertionError("the settings component failed", cause);
                    });
        }

        /** Puts a value as team {@code deployment} and waits for the outcome. */
        SettingsPut.Outcome put(String path, JsonNode value, long subtree, String changeId) {
            SettingsPut.Request request =
                    new SettingsPut.Request(
                            path, value, subtree, changeId, "deployment", "key", name(), 1);
            return SettingsPut.run(mReplicator, request).orTimeout(20, TimeUnit.SECONDS).join();
        }

        String name() {
            return mMember.host();
        }

        long pollCount() {
            return mMetrics.counter("settings.polls").getCount();
        }

        long activeVersion() {
            return mActiveVersions.isEmpty() ? 0 : mActiveVersions.getLast();
        }

        /** Returns the look-up lifetime of the active settings, which the tests change. */
        long lookupLifetimeMillis() {
            Settings settings = mSettings;
            return settings == null ? 0 : settings.lookupLifetimeMillis();
        }

        String address() {
            return mMember.peerAddress();
        }

        @Override
        public void settingsUpdated(NavigableMap<Long, Settings> versions, ZoneAcks acks) {
            mSettings = versions.lastEntry().getValue();
            mOldestRetained = versions.firstKey();
            mActiveVersions.add(versions.lastKey());
        }

        @Override
        public void noSettingsStored() {}

        @Override
        public Member member() {
            return mMember;
        }

        @Override
        public String zone() {
            return mZone;
        }

        @Override
        public @Nullable Roster roster() {
            Roster roster = mRosters.get(mZone);
            return roster == null || roster.member(mMember.id()) == null ? null : roster;
        }

        @Override
        public List<Member> coordinators(String zone) {
            Roster roster = mRosters.get(zone);
            return roster == null
                    ? List.of()
                    : roster.members().stream().filter(Member::serving).limit(2).toList();
        }

        @Override
        public boolean isCoordinator() {
            return coordinators(mZone).contains(mMember);
        }

        @Override
        public List<String> knownZones() {
            return mRosters.keySet().stream().sorted().toList();
        }

        @Override
        public void addPeerVersionListener(PeerVersionListener listener) {
            mVersionListeners.add(listener);
        }

        @Override
        public void close() {
            mReplicator.stop();
            mLoop.close();
            mListener.close();
            mCaller.close();
        }
    }

    /** Returns a deployment subtree; its look-up lifetime distinguishes versions. */
    static ObjectNode deployment(long lifetime) {
        try {
            ObjectNode node =
                    (ObjectNode)
                            Json.mapper()
                                    .readTree(
                                            """
                                            {"blockCount": 10,
                                             "regions": {"viti": {"zones": ["suva", "nadi"]}},
                                             "blocks": {"b0": {"first": 0, "last": 9,
                                               "region": "viti"}},
                                             "teams": {"store": {"keySha256": "KEY"},
                                               "deployment": {"keySha256": "KEY"}}}
                                            """
                                                    .replace("KEY", SettingsPut.sha256Hex("key")));
            return node.put("lookupLifetimeMillis", lifetime);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
