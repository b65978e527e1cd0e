package org.redwingladder.entry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.RegistrationGracePeriod;
import org.redwingladder.steering.ServerRegistration;
import org.redwingladder.steering.SteeringSettings;
import org.xnio.XnioIoThread;

/**
 * Replicates the store's control and servers tables, decodes their rows and notifies a listener of
 * changes.
 *
 * <p>Rows come from the store or from peers, for example while the store rejects this host. A row
 * that cannot be decoded is logged once and ignored; settings are replaced only by those with a
 * higher version. Servers whose registrations lapsed during an outage of the store are held for a
 * while by a {@link RegistrationGracePeriod}.
 */
final class StoreReplica implements TableWatcher.Listener {
    private final RowDecoder mDecoder;
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final Listener mListener;
    private final Map<StoreTable, TableReplica> mReplicas = new EnumMap<>(StoreTable.class);
    private final Map<StoreTable, TableWatcher> mWatchers = new EnumMap<>(StoreTable.class);
    private final Map<String, DecodedServer> mDecodedServers = new HashMap<>();
    private final Map<String, Long> mLoggedVersions = new HashMap<>();
    private final RegistrationGracePeriod mHold = RegistrationGracePeriod.create();
    private @Nullable SteeringSettings mSettings;
    private Set<String> mEvacuated = Set.of();
    private Map<String, ServerRegistration> mUsedServers = Map.of();
    private boolean mServersKnown;
    private boolean mReleaseScheduled;
    private ChangePublisher mPublisher = changes -> {};

    /** Receives the decoded state after updates. */
    interface Listener {
        void settingsChanged(SteeringSettings settings);

        void evacuatedZonesChanged(Set<String> zones);

        void serversChanged(Map<String, ServerRegistration> servers);
    }

    private record DecodedServer(long version, @Nullable ServerRegistration entry) {}

    /** The origin of a change, which is logged. */
    private enum Source {
        STORE,
        PUSH,
        COPY,
        HOLD_END
    }

    StoreReplica(RowDecoder decoder, XnioIoThread thread, EventLog log, Listener listener) {
        mDecoder = decoder;
        mThread = thread;
        mLog = log;
        mListener = listener;
        mReplicas.put(StoreTable.CONTROL, new TableReplica());
        mReplicas.put(StoreTable.SERVERS, new TableReplica());
    }

    /** Pushes changes that this host read from the store to its peers. */
    interface ChangePublisher {
        void publish(PeerMessages.TableChanges changes);
    }

    /** Starts to read the tables. */
    void start(StoreClient store, ChangePublisher publisher) {
        mPublisher = publisher;
        for (StoreTable table : mReplicas.keySet()) {
            TableWatcher watcher = new TableWatcher(table, store, mThread, this, mLog);
            mWatchers.put(table, watcher);
            watcher.readTable();
        }
    }

    void stop() {
        mWatchers.values().forEach(TableWatcher::stop);
    }

    /** Enables or disables watching the store; peers push changes to a host that does not watch. */
    void setWatching(boolean watching) {
        mWatchers.forEach(
                (table, watcher) -> watcher.setWatching(watching, mReplicas.get(table).position()));
    }

    /** Returns whether the last calls to the store succeeded. */
    boolean storeReachable() {
        return mWatchers.values().stream().noneMatch(TableWatcher::lastFailed);
    }

    /** Returns whether requests can be routed: settings and servers are known. */
    boolean ready() {
        return mSettings != null && mServersKnown;
    }

    /** Returns the settings in force, null until some are known. */
    @Nullable SteeringSettings settings() {
        return mSettings;
    }

    /** Returns the replica of a table. */
    TableReplica table(StoreTable table) {
        return mReplicas.get(table);
    }

    /** Returns whether the watch of a table is working. */
    boolean healthy(StoreTable table) {
        TableWatcher watcher = mWatchers.get(table);
        return watcher != null && watcher.healthy();
    }

    @Override
    public boolean replace(StoreTable table, List<StoreRow> rows, long position) {
        TableReplica replica = mReplicas.get(table);
        long after = replica.position();
        List<StoreRow> changes = replica.diff(rows, position);
        // A snapshot has no tombstones, so its position bounds the version of its last change.
        if (!replica.replace(rows, position, position)) {
            return false;
        }
        boolean firstSnapshot = after == 0;
        if (!firstSnapshot) {
            publish(table, after, position, changes);
        }
        decodeTable(table, Source.STORE);
        return true;
    }

    @Override
    public void apply(StoreTable table, List<StoreRow> rows, long position) {
        long after = mReplicas.get(table).position();
        mReplicas.get(table).apply(rows, position);
        publish(table, after, position, rows);
        if (!rows.isEmpty()) {
            decodeTable(table, Source.STORE);
        }
    }

    private void publish(StoreTable table, long after, long position, List<StoreRow> rows) {
        if (!rows.isEmpty()) {
            mPublisher.publish(
                    new PeerMessages.TableChanges(table, after, position, holdMillis(), rows));
        }
    }

    /** Applies changes that a peer pushed; returns false if earlier changes are missing. */
    boolean applyPushed(PeerMessages.TableChanges changes) {
        TableReplica replica = mReplicas.get(changes.table());
        if (replica.position() < changes.after()) {
            return false;
        }
        if (replica.position() < changes.position()) {
            extendHold(changes.holdMillis());
            if (changes.table() == StoreTable.SERVERS && changes.holdMillis() == 0) {
                mHold.recordServiceToOthers(System.nanoTime());
            }
            replica.apply(changes.rows(), changes.position());
            decodeTable(changes.table(), Source.PUSH);
        }
        return true;
    }

    private long holdMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mHold.remainingNanos(System.nanoTime()));
    }

    private void extendHold(long millis) {
        mHold.extendFromPeer(TimeUnit.MILLISECONDS.toNanos(millis), System.nanoTime());
    }

    @Override
    public void callSucceeded(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mHold.recordStoreSuccess(System.nanoTime());
        }
    }

    @Override
    public void callFailed(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mHold.recordStoreFailure();
        }
    }

    @Override
    public void watchDisabled(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mHold.recordPollingStopped();
        }
    }

    /** Installs a peer's snapshot of a table if it is newer than the replica. */
    void installSnapshot(PeerMessages.TableSnapshot snapshot) {
        StoreTable table = snapshot.table();
        long position = snapshot.position();
        TableReplica replica = mReplicas.get(table);
        if (position <= replica.position()
                || !replica.replace(snapshot.rows(), position, snapshot.changed())) {
            return;
        }
        extendHold(snapshot.holdMillis());
        mLog.event("state", "adopted").with("table", table).with("position", position).write();
        decodeTable(table, Source.COPY);
        if (healthy(table)) {
            // The long poll in flight is stalled or behind; restart it from the new position.
            mWatchers.get(table).watchFrom(position);
        }
    }

    private void decodeTable(StoreTable table, Source source) {
        if (table == StoreTable.CONTROL) {
            decodeControl();
        } else {
            decodeServers(source);
        }
    }

    private void decodeControl() {
        Set<String> evacuated = new HashSet<>();
        for (StoreRow row : mReplicas.get(StoreTable.CONTROL).rows()) {
            byte[] value = row.value();
            if (value == null) {
                continue;
            }
            switch (decodeControlRow(row, value)) {
                case RowDecoder.ControlRow.Settings read -> applySettings(read.settings());
                case RowDecoder.ControlRow.Evacuation read -> evacuated.add(read.zone());
                case RowDecoder.ControlRow.Other other -> {}
            }
        }
        if (!evacuated.equals(mEvacuated)) {
            mEvacuated = evacuated;
            mLog.event("state", "evacuated").with("zones", evacuated).write();
            mListener.evacuatedZonesChanged(evacuated);
        }
    }

    private RowDecoder.ControlRow decodeControlRow(StoreRow row, byte[] value) {
        try {
            return mDecoder.decodeControlRow(row.key(), value);
        } catch (RowDecoder.MalformedRowException | RuntimeException | StackOverflowError e) {
            logMalformed(row, e);
            return new RowDecoder.ControlRow.Other();
        }
    }

    private void applySettings(SteeringSettings settings) {
        SteeringSettings known = mSettings;
        if (known != null && settings.version() <= known.version()) {
            return;
        }
        mSettings = settings;
        mLog.event("state", "settings")
                .with("version", settings.version())
                .with("routes", settings.routes().size())
                .write();
        mListener.settingsChanged(settings);
    }

    private void logMalformed(StoreRow row, Throwable cause) {
        Long logged = mLoggedVersions.put(row.key(), row.version());
        if (logged == null || logged != row.version()) {
            mLog.event("state", "malformed-row")
                    .with("key", row.key())
                    .with("version", row.version())
                    .with(
                            "cause",
                            cause instanceof RowDecoder.MalformedRowException
                                    ? cause.getMessage()
                                    : cause)
                    .write();
        }
    }

    private void decodeServers(Source source) {
        long now = System.nanoTime();
        Map<String, ServerRegistration> registered = new HashMap<>();
        List<StoreRow> rows = mReplicas.get(StoreTable.SERVERS).rows();
        Set<String> keys = new HashSet<>();
        for (StoreRow row : rows) {
            keys.add(row.key());
            DecodedServer decoded = mDecodedServers.get(row.key());
            if (decoded == null || decoded.version() != row.version()) {
                decoded = new DecodedServer(row.version(), decode(row, now));
                mDecodedServers.put(row.key(), decoded);
            }
            ServerRegistration entry = decoded.entry();
            if (entry != null) {
                registered.put(entry.id(), entry);
            }
        }
        mDecodedServers.keySet().retainAll(keys);
        mServersKnown = true;
        useServers(mHold.update(registered, now), source);
        if (mHold.hasRetained()) {
            mLog.event("state", "lapsed-servers-held")
                    .with("servers", String.join(" ", mHold.retainedIds()))
                    .with("millis", holdMillis())
                    .write();
            scheduleRelease();
        }
    }

    private void scheduleRelease() {
        if (!mReleaseScheduled) {
            mReleaseScheduled = true;
            mThread.executeAfter(
                    this::releaseHeldServers,
                    mHold.nanosUntilRelease(System.nanoTime()) + 1,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void releaseHeldServers() {
        mReleaseScheduled = false;
        if (mHold.hasRetained()) {
            useServers(mHold.effectiveRegistrations(System.nanoTime()), Source.HOLD_END);
        }
        if (mHold.hasRetained()) {
            scheduleRelease();
        }
    }

    private void useServers(Map<String, ServerRegistration> servers, Source source) {
        StringBuilder departed = new StringBuilder();
        mUsedServers.forEach(
                (id, before) -> {
                    ServerRegistration now = servers.get(id);
                    if (now == null) {
                        departed.append(departed.isEmpty() ? "" : " ").append(id).append(":GONE");
                    } else if (now.draining() && !before.draining()) {
                        departed.append(departed.isEmpty() ? "" : " ")
                                .append(id)
                                .append(":DRAINING");
                    }
                });
        mUsedServers = Map.copyOf(servers);
        if (!departed.isEmpty()) {
            mLog.event("state", "servers-left")
                    .with("servers", departed)
                    .with("position", mReplicas.get(StoreTable.SERVERS).position())
                    .with("source", source)
                    .write();
        }
        mListener.serversChanged(servers);
    }

    private @Nullable ServerRegistration decode(StoreRow row, long now) {
        byte[] value = row.value();
        if (value == null) {
            return null;
        }
        try {
            return mDecoder.decodeServer(row.key(), value, now);
        } catch (RowDecoder.MalformedRowException | RuntimeException | StackOverflowError e) {
            logMalformed(row, e);
            return null;
        }
    }

    /** Returns snapshots of the tables whose replicas are newer than the given positions. */
    List<PeerMessages.TableSnapshot> snapshotsAfter(Map<StoreTable, Long> positions) {
        List<PeerMessages.TableSnapshot> snapshots = new ArrayList<>();
        mReplicas.forEach(
                (table, replica) -> {
                    if (replica.position() > positions.getOrDefault(table, -1L)) {
                        snapshots.add(
                                new PeerMessages.TableSnapshot(
                                        table,
                                        replica.position(),
                                        replica.lastChange(),
                                        holdMillis(),
                                        replica.rows()));
                    }
                });
        return snapshots;
    }
}
