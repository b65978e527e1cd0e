package org.redwingladder.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.control.MetricsFormatter;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.JsonException;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HostState;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Gossips membership entries and table versions with peers, pushes table changes to the hosts of
 * the region and fetches table snapshots from peers whose replicas are newer (anti-entropy).
 */
final class GossipService implements HttpHandler {
    private static final String EXCHANGE = "/peer/exchange";
    private static final String COPY = "/peer/copy";
    private static final String CHANGES = "/peer/changes";
    private static final Set<String> PEER_PATHS = Set.of(EXCHANGE, COPY, CHANGES);
    private static final String METRICS = "/metrics";

    /** Allows four rounds before a host of the same zone is considered dead. */
    private static final long GOSSIP_PERIOD_MILLIS = 600;

    /** Every n-th round also gossips with a host of any zone; the others stay in the zone. */
    private static final int ANY_ZONE_INTERVAL = 2;

    /** Exceeds a round trip between regions. */
    private static final long SEED_RETRY_MILLIS = 150;

    private static final long SEED_RETRY_LIMIT_NANOS = 600_000_000L;

    private final EntryConfig mConfig;
    private final GossipMembership mMembers;
    private final StoreReplica mStoreReplica;
    private final ServerConditionExchange mConditions;
    private final PeerClient mPeers;
    private final PeerMessageReader mMessages = new PeerMessageReader();
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private List<InetSocketAddress> mSeeds;
    private SelfEntry mSelf = () -> null;
    private LaterStartListener mLaterStarts = started -> {};
    private XnioExecutor.@Nullable Key mTimer;
    private long mRounds;
    private boolean mAnyPeerSeen;
    private boolean mAnyResponseSeen;
    private boolean mSnapshotCallInFlight;
    private @Nullable PeerVersions mNextSnapshotPeer;

    /** A peer and the versions of its table replicas. */
    private record PeerVersions(String address, StoreVersion control, StoreVersion servers) {}

    /** Supplies this host's membership entry, with a new heartbeat each time. */
    interface SelfEntry {
        @Nullable HostState next();
    }

    /**
     * Called with this host's start time as a peer knows it, which is later than the own one after
     * the clock was set back.
     */
    interface LaterStartListener {
        void laterStartSeen(long startedMillis);
    }

    GossipService(
            EntryConfig config,
            GossipMembership members,
            StoreReplica replica,
            ServerConditions conditions,
            AsyncHttpClient httpClient,
            XnioIoThread thread,
            EventLog log,
            EntryMetrics metrics) {
        mConfig = config;
        mSeeds = config.seeds();
        mMembers = members;
        mStoreReplica = replica;
        mPeers = new PeerClient(httpClient, thread, log, metrics);
        mThread = thread;
        mLog = log;
        mMetrics = metrics;
        mConditions =
                new ServerConditionExchange(
                        config,
                        members,
                        conditions,
                        thread,
                        (address, path, message) -> call(address, path, message, body -> {}));
    }

    /** Contacts the seeds and starts the gossip rounds. */
    void start(SelfEntry self, LaterStartListener laterStarts) {
        mSelf = self;
        mLaterStarts = laterStarts;
        contactSeeds(System.nanoTime() + SEED_RETRY_LIMIT_NANOS);
        runRound();
    }

    /** Contacts the seeds until one responds; all hosts may have started at the same time. */
    private void contactSeeds(long untilNanos) {
        if (mAnyResponseSeen || System.nanoTime() - untilNanos >= 0) {
            return;
        }
        for (InetSocketAddress seed : mSeeds) {
            if (!seed.equals(mConfig.peers())) {
                gossipWith(Addresses.format(seed));
            }
        }
        mThread.executeAfter(
                () -> contactSeeds(untilNanos), SEED_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Replaces the addresses that are contacted while no other host is known. */
    void seeds(List<InetSocketAddress> seeds) {
        mSeeds = List.copyOf(seeds);
    }

    void stop() {
        if (mTimer != null) {
            mTimer.remove();
        }
    }

    /** Returns whether a gossip message has arrived from any peer since the start. */
    boolean anyPeerSeen() {
        return mAnyPeerSeen;
    }

    /**
     * Returns whether a peer has responded since the start, so that this host knows what the other
     * hosts know.
     */
    boolean anyResponseSeen() {
        return mAnyResponseSeen;
    }

    /** Gossips with all hosts of the zone at once, so that they learn this host's new state. */
    void announceSelf() {
        long now = System.nanoTime();
        refreshSelf(now);
        for (HostState host : mMembers.alive(now)) {
            if (host.zone().equals(mConfig.zone()) && !host.name().equals(mConfig.host())) {
                gossipWith(host.peerAddress());
            }
        }
    }

    /** Pushes table changes to all hosts of the region. */
    void pushChanges(PeerMessages.TableChanges changes) {
        byte[] push =
                PeerCodec.encode(
                        new PeerMessages.ChangePush(Addresses.format(mConfig.peers()), changes));
        for (HostState host : mMembers.alive(System.nanoTime())) {
            if (!host.name().equals(mConfig.host())
                    && mConfig.region().equals(mConfig.region(host.zone()))) {
                mPeers.call(host.peerAddress(), CHANGES, push, body -> {});
            }
        }
    }

    private void runRound() {
        try {
            gossip();
        } finally {
            long jitter = ThreadLocalRandom.current().nextLong(GOSSIP_PERIOD_MILLIS / 4);
            mTimer =
                    mThread.executeAfter(
                            this::runRound,
                            GOSSIP_PERIOD_MILLIS * 7 / 8 + jitter,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void gossip() {
        long now = System.nanoTime();
        refreshSelf(now);
        mMembers.removeExpired(now);
        mRounds++;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        HostState zonePeer = mMembers.selectGossipPeer(mConfig.zone(), now, random);
        if (zonePeer != null) {
            gossipWith(zonePeer.peerAddress());
        }
        if (mRounds % ANY_ZONE_INTERVAL == 0 || zonePeer == null) {
            HostState anyPeer = mMembers.selectGossipPeer(null, now, random);
            if (anyPeer != null) {
                gossipWith(anyPeer.peerAddress());
            } else if (!mSeeds.isEmpty()) {
                gossipWith(Addresses.format(mSeeds.get(random.nextInt(mSeeds.size()))));
            }
        }
    }

    private void refreshSelf(long now) {
        HostState self = mSelf.next();
        if (self != null) {
            mMembers.updateSelf(self, now);
        }
    }

    /**
     * Returns a gossip message.
     *
     * @param asked the message to which it is the response, null if it is none
     */
    private PeerMessages.GossipMessage gossipMessage(
            List<HostState> entries, PeerMessages.@Nullable GossipMessage asked) {
        StoreVersion control = mStoreReplica.table(StoreTable.CONTROL).lastChange();
        StoreVersion servers = mStoreReplica.table(StoreTable.SERVERS).lastChange();
        PeerMessages.ConditionNews news = mConditions.news(asked);
        return new PeerMessages.GossipMessage(
                mConfig.host(),
                entries,
                control.number(),
                servers.number(),
                news.limitsDigest(),
                news.limits(),
                news.warmUpsDigest(),
                news.warmUps(),
                news.leavingsDigest(),
                news.leavings(),
                control.era(),
                servers.era());
    }

    private void gossipWith(String address) {
        call(
                address,
                EXCHANGE,
                gossipMessage(mMembers.recentStates(System.nanoTime()), null),
                body -> {
                    PeerMessages.GossipMessage response =
                            PeerCodec.decode(body, PeerMessages.GossipMessage.class);
                    mAnyResponseSeen = true;
                    mergeGossip(address, response);
                    mConditions.reconcile(address, response);
                });
    }

    private void call(String address, String path, Object message, PeerClient.BodyReader reader) {
        mPeers.call(address, path, PeerCodec.encode(message), reader);
    }

    private void snapshotCallEnded() {
        mSnapshotCallInFlight = false;
        PeerVersions next = mNextSnapshotPeer;
        mNextSnapshotPeer = null;
        if (next != null) {
            fetchSnapshots(next);
        }
    }

    private void mergeGossip(String address, PeerMessages.GossipMessage message) {
        mAnyPeerSeen = true;
        for (HostState host : message.hosts()) {
            if (host.name().equals(mConfig.host())) {
                mLaterStarts.laterStartSeen(host.startedMillis());
            }
        }
        mMembers.merge(message.hosts(), System.nanoTime());
        mStoreReplica.peerVersionSeen(StoreTable.CONTROL, message.control());
        mStoreReplica.peerVersionSeen(StoreTable.SERVERS, message.servers());
        fetchSnapshots(new PeerVersions(address, message.control(), message.servers()));
    }

    /**
     * Requests snapshots from a peer if its replicas are newer. At most one request is in flight;
     * the last peer that was found to be ahead meanwhile is asked next.
     */
    private void fetchSnapshots(PeerVersions peer) {
        boolean behind =
                peer.control().isNewerThan(mStoreReplica.table(StoreTable.CONTROL).position())
                        || peer.servers()
                                .isNewerThan(mStoreReplica.table(StoreTable.SERVERS).position());
        if (!behind) {
            return;
        }
        if (mSnapshotCallInFlight) {
            mNextSnapshotPeer = peer;
            return;
        }
        mSnapshotCallInFlight = true;
        call(
                peer.address(),
                COPY,
                PeerMessages.SnapshotRequest.after(
                        mStoreReplica.table(StoreTable.CONTROL).position(),
                        mStoreReplica.table(StoreTable.SERVERS).position()),
                new PeerClient.BodyReader() {
                    @Override
                    public void read(byte[] body) throws JsonException {
                        installSnapshots(
                                PeerCodec.decode(body, PeerMessages.SnapshotResponse.class));
                    }

                    @Override
                    public void ended() {
                        snapshotCallEnded();
                    }
                });
    }

    private void installSnapshots(PeerMessages.SnapshotResponse response) {
        for (PeerMessages.TableSnapshot snapshot : response.tables()) {
            mStoreReplica.installSnapshot(snapshot);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals(METRICS)) {
            Responses.text(exchange, 200, MetricsFormatter.toPrometheusText(mMetrics.registry()));
        } else if (PEER_PATHS.contains(path) || ServerConditionExchange.PATHS.contains(path)) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () ->
                            mMessages.read(
                                    exchange, (same, body) -> handleMessage(same, path, body)));
        } else {
            Responses.text(exchange, 404, "unknown path; allowed: " + METRICS + "\n");
        }
    }

    private void handleMessage(HttpServerExchange exchange, String path, byte[] body) {
        try {
            if (path.equals(EXCHANGE)) {
                PeerMessages.GossipMessage message =
                        PeerCodec.decode(body, PeerMessages.GossipMessage.class);
                String address = senderAddress(message);
                if (address != null) {
                    mergeGossip(address, message);
                }
                // The response omits entries that the sender already knows.
                List<HostState> newerEntries =
                        mMembers.recentStatesNewerThan(message.hosts(), System.nanoTime());
                Responses.binary(exchange, PeerCodec.encode(gossipMessage(newerEntries, message)));
            } else if (ServerConditionExchange.PATHS.contains(path)) {
                mConditions.receive(path, body);
                Responses.text(exchange, 200, "");
            } else if (path.equals(CHANGES)) {
                PeerMessages.ChangePush push =
                        PeerCodec.decode(body, PeerMessages.ChangePush.class);
                if (!mStoreReplica.applyPushed(push.changes())) {
                    // Earlier changes are missing; one may be the removal of a server.
                    mMetrics.count("peers.changes-missed");
                    StoreVersion position = push.changes().version();
                    boolean servers = push.changes().table() == StoreTable.SERVERS;
                    fetchSnapshots(
                            new PeerVersions(
                                    push.from(),
                                    servers ? StoreVersion.NONE : position,
                                    servers ? position : StoreVersion.NONE));
                }
                Responses.text(exchange, 200, "");
            } else {
                PeerMessages.SnapshotRequest request =
                        PeerCodec.decode(body, PeerMessages.SnapshotRequest.class);
                List<PeerMessages.TableSnapshot> snapshots =
                        mStoreReplica.snapshotsAfter(request.positions());
                Responses.binary(
                        exchange, PeerCodec.encode(new PeerMessages.SnapshotResponse(snapshots)));
            }
        } catch (JsonException | RuntimeException e) {
            mLog.event("peers", "malformed").with("cause", e).write();
            Responses.text(exchange, 400, "malformed message: " + e + "\n");
        }
    }

    private static @Nullable String senderAddress(PeerMessages.GossipMessage message) {
        for (HostState host : message.hosts()) {
            if (host.name().equals(message.from())) {
                return host.peerAddress();
            }
        }
        return null;
    }
}
