package org.redwingladder.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.control.MetricsText;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.http.JsonException;
import org.redwingladder.http.WholeAnswer;
import org.redwingladder.steering.HostEntry;
import org.redwingladder.steering.MemberTable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Exchanges with other hosts who is alive and how new the tables are, and copies tables from hosts
 * that are ahead.
 */
final class GossipService implements HttpHandler {
    private static final String EXCHANGE = "/peer/exchange";
    private static final String COPY = "/peer/copy";
    private static final String CHANGES = "/peer/changes";
    private static final String METRICS = "/metrics";

    /** Four exchanges pass before a host of the same zone counts as silent. */
    private static final long PERIOD_MILLIS = 600;

    /** Each n-th exchange goes to any zone; the others stay in the zone. */
    private static final int ANY_ZONE_EACH = 2;

    /** Longer than a round trip between regions and a pause of a busy host. */
    private static final long CALL_MILLIS = 1_000;

    private static final int MAX_MESSAGE_BYTES = 8 << 20;

    private final EntryConfig mConfig;
    private final MemberTable mMembers;
    private final StoreReplica mState;
    private final HttpCaller mCaller;
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private final Set<String> mUnreachable = new HashSet<>();
    private List<InetSocketAddress> mSeeds;
    private Self mSelf = () -> null;
    private Restart mRestart = started -> {};
    private XnioExecutor.@Nullable Key mTimer;
    private long mTicks;
    private boolean mHeardAny;
    private boolean mCopying;
    private @Nullable Ahead mNextCopy;

    /** Names a host and the versions of the tables that it has. */
    private record Ahead(String address, long control, long servers) {}

    /** Returns what this host says of itself. */
    interface Self {
        @Nullable HostEntry next();
    }

    /** Learns that others know a later start of this host, as after a step of its clock. */
    interface Restart {
        void laterStart(long startedMillis);
    }

    GossipService(
            EntryConfig config,
            MemberTable members,
            StoreReplica state,
            HttpCaller caller,
            XnioIoThread thread,
            EventLog log,
            EntryMetrics metrics) {
        mConfig = config;
        mSeeds = config.seeds();
        mMembers = members;
        mState = state;
        mCaller = caller;
        mThread = thread;
        mLog = log;
        mMetrics = metrics;
    }

    void start(Self self, Restart restart) {
        mSelf = self;
        mRestart = restart;
        for (InetSocketAddress seed : mSeeds) {
            if (!seed.equals(mConfig.peers())) {
                exchange(Addresses.format(seed));
            }
        }
        tick();
    }

    /** Replaces the addresses that are tried while no other host is known. */
    void seeds(List<InetSocketAddress> seeds) {
        mSeeds = List.copyOf(seeds);
    }

    void stop() {
        if (mTimer != null) {
            mTimer.remove();
        }
    }

    /** Returns whether any other host was heard of since the start. */
    boolean heardAny() {
        return mHeardAny;
    }

    /** Tells all hosts of the zone at once what this host says of itself. */
    void announce() {
        long now = System.nanoTime();
        refreshSelf(now);
        for (HostEntry host : mMembers.alive(now)) {
            if (host.zone().equals(mConfig.zone()) && !host.name().equals(mConfig.host())) {
                exchange(host.peerAddress());
            }
        }
    }

    /** Passes changes on to the hosts of the region. */
    void pass(PeerMessages.TableChanges changes) {
        byte[] push =
                PeerCodec.write(
                        new PeerMessages.ChangePush(Addresses.format(mConfig.peers()), changes));
        for (HostEntry host : mMembers.alive(System.nanoTime())) {
            if (!host.name().equals(mConfig.host())
                    && mConfig.region().equals(mConfig.region(host.zone()))) {
                call(host.peerAddress(), CHANGES, push, body -> {});
            }
        }
    }

    private void tick() {
        long now = System.nanoTime();
        refreshSelf(now);
        mMembers.expire(now);
        mTicks++;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        HostEntry near = mMembers.partner(mConfig.zone(), now, random);
        if (near != null) {
            exchange(near.peerAddress());
        }
        if (mTicks % ANY_ZONE_EACH == 0 || near == null) {
            HostEntry any = mMembers.partner(null, now, random);
            if (any != null) {
                exchange(any.peerAddress());
            } else if (!mSeeds.isEmpty()) {
                exchange(Addresses.format(mSeeds.get(random.nextInt(mSeeds.size()))));
            }
        }
        long jitter = random.nextLong(PERIOD_MILLIS / 4);
        mTimer =
                mThread.executeAfter(
                        this::tick, PERIOD_MILLIS * 7 / 8 + jitter, TimeUnit.MILLISECONDS);
    }

    private void refreshSelf(long now) {
        HostEntry self = mSelf.next();
        if (self != null) {
            mMembers.self(self, now);
        }
    }

    private PeerMessages.GossipMessage message(List<HostEntry> entries) {
        return new PeerMessages.GossipMessage(
                mConfig.host(),
                entries,
                mState.image(StoreTable.CONTROL).changed(),
                mState.image(StoreTable.SERVERS).changed());
    }

    private void exchange(String address) {
        call(
                address,
                EXCHANGE,
                PeerCodec.write(message(mMembers.entries(System.nanoTime()))),
                body -> received(address, PeerCodec.read(body, PeerMessages.GossipMessage.class)));
    }

    private interface BodyReader {
        void read(byte[] body) throws JsonException;
    }

    private void call(String address, String path, byte[] message, BodyReader reader) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_MILLIS);
        CallRequest request =
                CallRequest.of(Methods.POST, Addresses.parse(address), path, deadline)
                        .body(message)
                        .maxWholeBytes(MAX_MESSAGE_BYTES);
        mCaller.ask(request)
                .whenComplete(
                        (answer, cause) ->
                                mThread.execute(() -> ended(address, path, answer, cause, reader)));
    }

    private void ended(
            String address,
            String path,
            @Nullable WholeAnswer answer,
            @Nullable Throwable cause,
            BodyReader reader) {
        String fault = cause == null ? null : String.valueOf(cause.getMessage());
        if (answer != null && answer.status() != 200) {
            fault = "status " + answer.status();
        } else if (answer != null) {
            try {
                reader.read(answer.body());
            } catch (JsonException e) {
                fault = e.getMessage();
            }
        }
        if (fault == null) {
            if (mUnreachable.remove(address)) {
                mLog.event("peers", "regained").with("address", address).write();
            }
        } else {
            mMetrics.count("peers.failed");
            if (mUnreachable.add(address)) {
                mLog.event("peers", "lost").with("address", address).with("cause", fault).write();
            }
        }
        if (path.equals(COPY)) {
            copyEnded();
        }
    }

    private void copyEnded() {
        mCopying = false;
        Ahead next = mNextCopy;
        mNextCopy = null;
        if (next != null) {
            copyFrom(next);
        }
    }

    private void received(String address, PeerMessages.GossipMessage message) {
        mHeardAny = true;
        for (HostEntry host : message.hosts()) {
            if (host.name().equals(mConfig.host())) {
                mRestart.laterStart(host.startedMillis());
            }
        }
        mMembers.merge(message.hosts(), System.nanoTime());
        copyFrom(new Ahead(address, message.controlChanged(), message.serversChanged()));
    }

    /** Copies the tables from a host if it has newer ones, after a copy that is under way. */
    private void copyFrom(Ahead host) {
        boolean behind =
                host.control() > mState.image(StoreTable.CONTROL).position()
                        || host.servers() > mState.image(StoreTable.SERVERS).position();
        if (!behind) {
            return;
        }
        if (mCopying) {
            mNextCopy = host;
            return;
        }
        mCopying = true;
        call(
                host.address(),
                COPY,
                PeerCodec.write(
                        new PeerMessages.SnapshotRequest(
                                mState.image(StoreTable.CONTROL).position(),
                                mState.image(StoreTable.SERVERS).position())),
                body -> adopt(PeerCodec.read(body, PeerMessages.SnapshotResponse.class)));
    }

    private void adopt(PeerMessages.SnapshotResponse copies) {
        for (PeerMessages.TableSnapshot copy : copies.tables()) {
            mState.adopt(copy);
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals(METRICS)) {
            Responses.text(exchange, 200, MetricsText.text(mMetrics.registry()));
        } else if (path.equals(EXCHANGE) || path.equals(COPY) || path.equals(CHANGES)) {
            exchange.getRequestReceiver()
                    .receiveFullBytes((same, body) -> answer(exchange, path, body));
        } else {
            Responses.text(exchange, 404, "unknown path; allowed: " + METRICS + "\n");
        }
    }

    private void answer(HttpServerExchange exchange, String path, byte[] body) {
        try {
            if (path.equals(EXCHANGE)) {
                PeerMessages.GossipMessage message =
                        PeerCodec.read(body, PeerMessages.GossipMessage.class);
                String address = addressOf(message);
                if (address != null) {
                    received(address, message);
                }
                // What the other host told is not worth sending back.
                List<HostEntry> beyond = mMembers.entriesBeyond(message.hosts(), System.nanoTime());
                Responses.packed(exchange, PeerCodec.write(message(beyond)));
            } else if (path.equals(CHANGES)) {
                PeerMessages.ChangePush push = PeerCodec.read(body, PeerMessages.ChangePush.class);
                if (!mState.passed(push.changes())) {
                    // Without the changes before these a leaving server would go on to be used.
                    mMetrics.count("peers.changes-missed");
                    long position = push.changes().position();
                    boolean servers = push.changes().table() == StoreTable.SERVERS;
                    copyFrom(
                            new Ahead(push.from(), servers ? 0 : position, servers ? position : 0));
                }
                Responses.text(exchange, 200, "");
            } else {
                PeerMessages.SnapshotRequest asked =
                        PeerCodec.read(body, PeerMessages.SnapshotRequest.class);
                List<PeerMessages.TableSnapshot> copies =
                        mState.copies(
                                Map.of(
                                        StoreTable.CONTROL, asked.controlPosition(),
                                        StoreTable.SERVERS, asked.serversPosition()));
                Responses.packed(
                        exchange, PeerCodec.write(new PeerMessages.SnapshotResponse(copies)));
            }
        } catch (JsonException e) {
            mLog.event("peers", "malformed").with("cause", e.getMessage()).write();
            Responses.text(exchange, 400, "malformed message: " + e.getMessage() + "\n");
        }
    }

    private static @Nullable String addressOf(PeerMessages.GossipMessage message) {
        for (HostEntry host : message.hosts()) {
            if (host.name().equals(message.from())) {
                return host.peerAddress();
            }
        }
        return null;
    }
}
