package org.redwingladder.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.JsonException;
import org.redwingladder.steering.FreshnessPolicy;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.StoreReaderSelector;
import org.xnio.XnioIoThread;

/**
 * Keeps the proof young that this host's tables are up to date: asks the hosts that follow the
 * store, and reads the changes from the store itself if they do not help. {@link FreshnessPolicy}
 * decides.
 */
final class FreshnessService implements HttpHandler {
    /** The path of the question; hosts of earlier releases respond with 404. */
    static final String PATH = "/peer/freshness";

    private static final List<StoreTable> TABLES = List.of(StoreTable.CONTROL, StoreTable.SERVERS);
    private static final long CHECK_MILLIS = 100;

    /** Reading a whole table takes longer than reading changes. */
    private static final long READ_TIMEOUT_MILLIS = 1_500;

    private static final long LOG_PERIOD_NANOS = 1_000_000_000L;

    private final EntryConfig mConfig;
    private final GossipMembership mMembers;
    private final StoreReplica mReplica;
    private final StoreFreshness mFreshness;
    private final FreshnessPolicy mPolicy;
    private final PeerClient mPeers;
    private final PeerMessageReader mMessages = new PeerMessageReader();
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private @Nullable StoreClient mStore;
    private boolean mStopped;
    private int mStoreCalls;
    private boolean mStoreCallFailed;
    private long mNextLogNanos = System.nanoTime();

    FreshnessService(
            EntryConfig config,
            GossipMembership members,
            StoreReplica replica,
            AsyncHttpClient httpClient,
            XnioIoThread thread,
            EventLog log,
            EntryMetrics metrics) {
        mConfig = config;
        mMembers = members;
        mReplica = replica;
        mFreshness = replica.freshness();
        mPolicy =
                new FreshnessPolicy(
                        config.host(),
                        config.region(),
                        config.regionOfZone(),
                        ThreadLocalRandom.current(),
                        System.nanoTime());
        mPeers = new PeerClient(httpClient, thread, log, metrics);
        mThread = thread;
        mLog = log;
        mMetrics = metrics;
    }

    /** Starts to check the age of the proofs. */
    void start(StoreClient store) {
        mStore = store;
        for (StoreTable table : TABLES) {
            String name = table == StoreTable.CONTROL ? "control" : "servers";
            mMetrics.gauge("store.age." + name, () -> mFreshness.loggedAge(table));
        }
        check();
    }

    void stop() {
        mStopped = true;
    }

    /** Begins or ends to follow the store, as this host ranks among the trusted ones. */
    void updateWatching() {
        long now = System.nanoTime();
        mReplica.setWatching(
                StoreReaderSelector.isReader(
                        mConfig.host(),
                        mPolicy.trusted(mMembers.alive(now), now),
                        mConfig.regionOfZone()));
    }

    private void check() {
        if (mStopped) {
            return;
        }
        try {
            step();
        } finally {
            mThread.executeAfter(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void step() {
        long now = System.nanoTime();
        long proven = mFreshness.oldestProvenNanos();
        if (now - proven < FreshnessPolicy.ASK_AGE_NANOS) {
            mPolicy.recordFreshProof(now);
            return;
        }
        List<HostState> alive = mMembers.alive(now);
        if (now - proven >= mPolicy.outdatedAgeNanos(alive)) {
            logOutdated("outdated", "", "");
        }
        switch (mPolicy.next(proven, alive, now)) {
            case FreshnessPolicy.Step.Idle idle -> {}
            case FreshnessPolicy.Step.AskHost ask -> askHost(ask.host(), ask.deadlineNanos(), now);
            case FreshnessPolicy.Step.AskStore ask -> askStore(ask.deadlineNanos());
        }
    }

    private void askHost(HostState host, long deadlineNanos, long sentNanos) {
        mMetrics.count("freshness.questions");
        Map<StoreTable, StoreVersion> positions = new EnumMap<>(StoreTable.class);
        TABLES.forEach(table -> positions.put(table, mReplica.table(table).position()));
        mPeers.call(
                host.peerAddress(),
                PATH,
                PeerCodec.encode(new FreshnessMessages.Question(positions)),
                deadlineNanos,
                new AnswerReader(host.name(), sentNanos));
    }

    /** Reads the answer to a question and reports the outcome to the policy. */
    private final class AnswerReader implements PeerClient.BodyReader {
        private final String mHost;
        private final long mSentNanos;
        private boolean mAnswered;
        private boolean mUnsupported;

        AnswerReader(String host, long sentNanos) {
            mHost = host;
            mSentNanos = sentNanos;
        }

        @Override
        public void read(byte[] body) throws JsonException {
            FreshnessMessages.Answer answer =
                    PeerCodec.decode(body, FreshnessMessages.Answer.class);
            answer.snapshots().forEach(mReplica::installSnapshot);
            boolean hostOutdated = answer.statements().size() < TABLES.size();
            for (FreshnessMessages.Statement statement : answer.statements()) {
                Long age = statement.ageMillis();
                if (age == null) {
                    hostOutdated = true;
                    continue;
                }
                // What the other host says was true after the question was sent.
                long proven = mSentNanos - TimeUnit.MILLISECONDS.toNanos(age);
                hostOutdated |=
                        mSentNanos - proven
                                >= FreshnessPolicy.ASK_AGE_NANOS
                                        + FreshnessPolicy.QUESTION_TIMEOUT_NANOS;
                mReplica.peerVersionSeen(statement.table(), statement.position());
                TableReplica replica = mReplica.table(statement.table());
                if (replica.position().era() == statement.position().era()
                        && !statement.changed().isNewerThan(replica.position())) {
                    replica.apply(List.of(), statement.position());
                    mFreshness.provenByHost(statement.table(), proven);
                }
            }
            mAnswered = true;
            mPolicy.hostAnswered(
                    mHost,
                    mFreshness.oldestProvenNanos(),
                    answer.follows() && hostOutdated,
                    System.nanoTime());
        }

        @Override
        public void unsupported() {
            mUnsupported = true;
        }

        @Override
        public void ended() {
            if (mAnswered) {
                return;
            }
            mMetrics.count("freshness.failed");
            logOutdated("asked", mHost, mUnsupported ? "unsupported" : "no-answer");
            if (mUnsupported) {
                mPolicy.hostUnsupported(mHost, System.nanoTime());
            } else {
                mPolicy.hostFailed(mHost, System.nanoTime());
            }
            updateWatching();
            step();
        }
    }

    private void askStore(long deadlineNanos) {
        StoreClient store = mStore;
        if (store == null) {
            return;
        }
        // A table that this host has never had is read by its watcher.
        List<StoreTable> tables =
                TABLES.stream()
                        .filter(t -> !mReplica.table(t).position().equals(StoreVersion.NONE))
                        .toList();
        if (tables.isEmpty()) {
            long now = System.nanoTime();
            mPolicy.storeAnswered(mMembers.alive(now).size(), now);
            return;
        }
        mStoreCallFailed = false;
        mStoreCalls = tables.size();
        for (StoreTable table : tables) {
            mMetrics.count("freshness.store-calls");
            StoreVersion position = mReplica.table(table).position();
            store.pollChanges(
                    table,
                    position.number(),
                    0,
                    deadlineNanos,
                    new StoreReader(store, table, position));
        }
    }

    /** Applies what this host read from the store itself. */
    private final class StoreReader implements StoreClient.Callback<VersionedRows> {
        private final StoreClient mClient;
        private final StoreTable mTable;
        private final @Nullable StoreVersion mAfter;
        private final long mSentNanos = System.nanoTime();

        /**
         * Creates a callback.
         *
         * @param after the position after which changes are read, null if the whole table is
         */
        StoreReader(StoreClient client, StoreTable table, @Nullable StoreVersion after) {
            mClient = client;
            mTable = table;
            mAfter = after;
        }

        @Override
        public void succeeded(VersionedRows read) {
            StoreVersion position = read.position();
            if (position.era() < mReplica.era()) {
                mReplica.earlierEraSeen(mTable, position);
                fail();
            } else if (mAfter != null && position.era() != mAfter.era()) {
                // The changes follow a table that this host never had.
                readTable(position.era());
            } else {
                mReplica.callSucceeded(mTable);
                deliverOrRead(read);
            }
        }

        private void deliverOrRead(VersionedRows read) {
            try {
                deliver(read);
            } catch (RuntimeException | StackOverflowError e) {
                mLog.event("store", "delivery-failed")
                        .with("table", mTable)
                        .with("position", read.position().number())
                        .with("cause", e)
                        .write();
                // Only a reading of the whole table delivers these rows again.
                if (mAfter != null) {
                    readTable(read.position().era());
                } else {
                    fail();
                }
                return;
            }
            storeCallEnded();
        }

        private void deliver(VersionedRows read) {
            boolean current = true;
            if (mAfter == null) {
                current = mReplica.replace(mTable, read.rows(), read.position());
            } else {
                mReplica.apply(mTable, read.rows(), read.position());
            }
            if (current) {
                mFreshness.provenByStore(mTable, mSentNanos);
            }
        }

        private void readTable(long era) {
            mReplica.eraSeen(era);
            mClient.readTable(
                    mTable,
                    System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MILLIS),
                    new StoreReader(mClient, mTable, null));
        }

        @Override
        public void failed(StoreException cause) {
            if (cause.reason() == StoreException.Reason.HISTORY_LOST && mAfter != null) {
                readTable(cause.era());
            } else {
                fail();
            }
        }

        private void fail() {
            mReplica.callFailed(mTable);
            mStoreCallFailed = true;
            storeCallEnded();
        }
    }

    private void storeCallEnded() {
        mStoreCalls--;
        if (mStoreCalls > 0) {
            return;
        }
        long now = System.nanoTime();
        int hosts = mMembers.alive(now).size();
        logOutdated("asked", "store", mStoreCallFailed ? "failed" : "answered");
        if (mStoreCallFailed) {
            mPolicy.storeFailed(hosts, now);
        } else {
            mPolicy.storeAnswered(hosts, now);
            updateWatching();
        }
    }

    private void logOutdated(String event, String asked, String result) {
        long now = System.nanoTime();
        if (now - mNextLogNanos < 0) {
            return;
        }
        mNextLogNanos = now + LOG_PERIOD_NANOS;
        mLog.event("store", event)
                .with("controlAge", mFreshness.loggedAge(StoreTable.CONTROL))
                .with("serversAge", mFreshness.loggedAge(StoreTable.SERVERS))
                .with("asked", asked)
                .with("result", result)
                .write();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> mMessages.read(exchange, this::answer));
    }

    private void answer(HttpServerExchange exchange, byte[] body) {
        try {
            FreshnessMessages.Question question =
                    PeerCodec.decode(body, FreshnessMessages.Question.class);
            Responses.binary(exchange, PeerCodec.encode(answerTo(question)));
        } catch (JsonException | RuntimeException e) {
            mLog.event("peers", "malformed").with("cause", e).write();
            Responses.text(exchange, 400, "malformed message: " + e + "\n");
        }
    }

    private FreshnessMessages.Answer answerTo(FreshnessMessages.Question question) {
        long now = System.nanoTime();
        List<FreshnessMessages.Statement> statements = new ArrayList<>();
        Map<StoreTable, StoreVersion> known = new EnumMap<>(StoreTable.class);
        for (StoreTable table : TABLES) {
            TableReplica replica = mReplica.table(table);
            var age = mFreshness.ageMillis(table, now);
            statements.add(
                    new FreshnessMessages.Statement(
                            table,
                            replica.position(),
                            replica.lastChange(),
                            age.isPresent() ? age.getAsLong() : null));
            StoreVersion position = question.positions().getOrDefault(table, StoreVersion.NONE);
            boolean complete =
                    position.era() == replica.position().era()
                            && !replica.lastChange().isNewerThan(position);
            known.put(table, complete ? replica.position() : position);
        }
        return new FreshnessMessages.Answer(
                mFreshness.watching(), statements, mReplica.snapshotsAfter(known));
    }
}
