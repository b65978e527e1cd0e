package org.redwingladder.entry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.RestoredStateGuard;
import org.redwingladder.steering.SteeringSettings;
import org.xnio.XnioIoThread;

/**
 * Replicates the store's control and servers tables, decodes their rows and notifies a listener of
 * changes.
 *
 * <p>Rows come from the store or from peers, for example while the store rejects this host. A row
 * that cannot be decoded is logged once and ignored; settings are replaced only by those with a
 * higher version. After the store was restored from a copy, a {@link RestoredStateGuard} keeps what
 * the copy does not have.
 */
final class StoreReplica implements TableWatcher.Listener {
    private final LoggingRowDecoder mDecoder;
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final Listener mListener;
    private final Map<StoreTable, TableReplica> mReplicas = new EnumMap<>(StoreTable.class);
    private final Map<StoreTable, TableWatcher> mWatchers = new EnumMap<>(StoreTable.class);
    private final RestoredStateGuard mGuard = RestoredStateGuard.create();
    private final StoreFreshness mFreshness = new StoreFreshness(System.nanoTime());
    private final UsableServers mServers;
    private final StoreEra mEra;

    /** Tables that all hosts of the region read at the same news, so that none pushes changes. */
    private final Set<StoreTable> mReadForPeers = EnumSet.noneOf(StoreTable.class);

    private @Nullable SteeringSettings mSettings;
    private Set<String> mEvacuated = Set.of();
    private boolean mServersKnown;
    private ChangePublisher mPublisher = changes -> {};

    /** Receives the decoded state after updates. */
    interface Listener extends UsableServers.Listener {
        void settingsChanged(SteeringSettings settings);

        void evacuatedZonesChanged(Set<String> zones);
    }

    StoreReplica(RowDecoder decoder, XnioIoThread thread, EventLog log, Listener listener) {
        mDecoder = new LoggingRowDecoder(decoder, log);
        mThread = thread;
        mLog = log;
        mEra = new StoreEra(log);
        mListener = listener;
        mServers = new UsableServers(mGuard, mFreshness, thread, log, listener);
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
        mFreshness.watching(watching, System.nanoTime());
        if (watching) {
            mReadForPeers.clear();
        }
        mWatchers.forEach(
                (table, watcher) -> watcher.setWatching(watching, mReplicas.get(table).position()));
    }

    /** Returns whether the last calls to the store succeeded and none has been out for long. */
    boolean storeReachable() {
        return mWatchers.values().stream().noneMatch(TableWatcher::lastFailed)
                && !mFreshness.readerOutdated(System.nanoTime());
    }

    /** Returns the instants up to which the tables are proven to be up to date. */
    StoreFreshness freshness() {
        return mFreshness;
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
    public boolean replace(StoreTable table, List<StoreRow> rows, StoreVersion position) {
        TableReplica replica = mReplicas.get(table);
        StoreVersion after = replica.position();
        List<StoreRow> changes = replica.diff(rows, position);
        // A snapshot has no tombstones, so its position bounds the version of its last change.
        if (!replica.replace(rows, position, position)) {
            return false;
        }
        raiseEra(position.era(), StoreEra.Source.STORE);
        boolean firstSnapshot = after.equals(StoreVersion.NONE);
        recordRestore(table, after);
        if (!firstSnapshot && !mReadForPeers.remove(table)) {
            publish(table, after, position, changes, true);
        }
        decodeTable(table, UsableServers.Source.STORE);
        return true;
    }

    @Override
    public void apply(StoreTable table, List<StoreRow> rows, StoreVersion position) {
        StoreVersion after = mReplicas.get(table).position();
        mReplicas.get(table).apply(rows, position);
        publish(table, after, position, rows, false);
        if (!rows.isEmpty()) {
            decodeTable(table, UsableServers.Source.STORE);
        }
    }

    private void publish(
            StoreTable table,
            StoreVersion after,
            StoreVersion position,
            List<StoreRow> rows,
            boolean difference) {
        if (!rows.isEmpty()) {
            mPublisher.publish(
                    new PeerMessages.TableChanges(
                            table,
                            after.number(),
                            position.number(),
                            mServers.holdMillis(),
                            rows,
                            after.era(),
                            position.era(),
                            difference));
        }
    }

    @Override
    public long era() {
        return mEra.current();
    }

    /** Returns the latest era of the store that this host has seen and what follows from it. */
    StoreEra storeEra() {
        return mEra;
    }

    @Override
    public void eraSeen(long era) {
        raiseEra(era, StoreEra.Source.STORE);
    }

    @Override
    public void earlierEraSeen(StoreTable table, StoreVersion position) {
        mEra.logDropped(table, position, StoreEra.Source.STORE);
    }

    private void raiseEra(long era, StoreEra.Source source) {
        if (mEra.raise(era, source)) {
            mWatchers.forEach(
                    (table, watcher) -> {
                        if (mReplicas.get(table).position().era() < era) {
                            watcher.eraRaised();
                        }
                    });
        }
    }

    /** Handles the version up to which a peer knows a table. */
    void peerVersionSeen(StoreTable table, StoreVersion version) {
        TableReplica replica = mReplicas.get(table);
        raiseEra(version.era(), StoreEra.Source.PEER);
        // Without an era nothing tells whether a host of an earlier build is ahead or has rows that
        // the store has lost; the store does.
        TableWatcher watcher = mWatchers.get(table);
        if (watcher != null
                && version.era() == 0
                && mEra.current() > 0
                && version.number() > replica.position().number()) {
            if (watcher.readUnwatched()) {
                mReadForPeers.add(table);
            }
        }
    }

    /** Returns whether rows of a peer are of an era that has ended. */
    private boolean isOutdated(StoreTable table, StoreVersion version) {
        peerVersionSeen(table, version);
        boolean outdated = version.era() < mEra.current();
        if (outdated) {
            mEra.logDropped(table, version, StoreEra.Source.PEER);
        }
        return outdated;
    }

    /** Prepares for the first rows of a later era, which may be older than those known. */
    private void recordRestore(StoreTable table, StoreVersion before) {
        TableReplica replica = mReplicas.get(table);
        // A table of a host that states no era is not from an earlier one.
        boolean copied = before.era() == 0 && !mFreshness.everProvenByStore(table);
        if (copied || before.era() == replica.position().era()) {
            return;
        }
        mLog.event("store", "restored")
                .with("table", table)
                .with("to", replica.position().number())
                .with("position", before.number())
                .with("era", replica.position().era())
                .write();
        long now = System.nanoTime();
        if (table == StoreTable.CONTROL) {
            mGuard.controlRestored(now);
        } else {
            mGuard.serversRestored(replica.versions(), now);
            mServers.hold().recordStoreRestored(now);
        }
        mThread.executeAfter(
                () -> decodeTable(table, UsableServers.Source.HOLD_END),
                RestoredStateGuard.SETTLE_NANOS + 1,
                TimeUnit.NANOSECONDS);
    }

    /** Applies changes that a peer pushed; returns false if earlier changes are missing. */
    boolean applyPushed(PeerMessages.TableChanges changes) {
        StoreTable table = changes.table();
        TableReplica replica = mReplicas.get(table);
        StoreVersion before = replica.position();
        if (isOutdated(table, changes.version())) {
            return true;
        }
        TableReplica.Relation relation =
                replica.relationOf(changes.afterVersion(), changes.version(), changes.difference());
        return switch (relation) {
            case CONTAINED -> true;
            case GAP -> false;
            case APPLICABLE -> {
                mServers.recordPush(changes.table(), changes.holdMillis());
                replica.apply(changes.rows(), changes.version());
                recordRestore(table, before);
                decodeTable(table, UsableServers.Source.PUSH);
                yield true;
            }
        };
    }

    @Override
    public void callSucceeded(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mServers.hold().recordStoreSuccess(System.nanoTime());
        }
    }

    @Override
    public void callFailed(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mServers.hold().recordStoreFailure();
        }
    }

    @Override
    public void watchDisabled(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mServers.hold().recordPollingStopped();
        }
    }

    @Override
    public void proven(StoreTable table, long provenNanos) {
        mFreshness.provenByStore(table, provenNanos);
    }

    /** Installs a peer's snapshot of a table if it is newer than the replica. */
    void installSnapshot(PeerMessages.TableSnapshot snapshot) {
        StoreTable table = snapshot.table();
        StoreVersion position = snapshot.version();
        TableReplica replica = mReplicas.get(table);
        StoreVersion before = replica.position();
        if (isOutdated(table, position)
                || !position.isNewerThan(before)
                || !replica.replace(snapshot.rows(), position, snapshot.lastChange())) {
            return;
        }
        mServers.extendHold(snapshot.holdMillis());
        recordRestore(table, before);
        mLog.event("state", "adopted")
                .with("table", table)
                .with("position", position.number())
                .with("era", position.era())
                .write();
        decodeTable(table, UsableServers.Source.COPY);
        if (healthy(table)) {
            // The long poll in flight is stalled or behind; restart it from the new position.
            mWatchers.get(table).watchFrom(position);
        }
    }

    private void decodeTable(StoreTable table, UsableServers.Source source) {
        if (table == StoreTable.CONTROL) {
            decodeControl();
        } else {
            decodeServers(source);
        }
    }

    private void decodeControl() {
        Set<String> evacuated = new HashSet<>();
        for (StoreRow row : mReplicas.get(StoreTable.CONTROL).rows()) {
            switch (mDecoder.controlRow(row)) {
                case RowDecoder.ControlRow.Settings read -> applySettings(read.settings());
                case RowDecoder.ControlRow.Evacuation read -> evacuated.add(read.zone());
                case RowDecoder.ControlRow.Other other -> {}
            }
        }
        Set<String> zones = mGuard.evacuatedZones(evacuated, System.nanoTime());
        if (!zones.equals(mEvacuated)) {
            mEvacuated = zones;
            mLog.event("state", "evacuated").with("zones", zones).write();
            mListener.evacuatedZonesChanged(zones);
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
                .with("proofAge", mFreshness.loggedAge(StoreTable.CONTROL))
                .write();
        mListener.settingsChanged(settings);
    }

    private void decodeServers(UsableServers.Source source) {
        TableReplica replica = mReplicas.get(StoreTable.SERVERS);
        mServersKnown = true;
        mServers.update(
                mDecoder.servers(replica.rows(), System.nanoTime()),
                replica.versions(),
                replica.position(),
                source);
    }

    /** Returns snapshots of the tables whose replicas are newer than the given positions. */
    List<PeerMessages.TableSnapshot> snapshotsAfter(Map<StoreTable, StoreVersion> positions) {
        List<PeerMessages.TableSnapshot> snapshots = new ArrayList<>();
        mReplicas.forEach(
                (table, replica) -> {
                    StoreVersion known = positions.get(table);
                    if (known == null || replica.position().isNewerThan(known)) {
                        snapshots.add(
                                new PeerMessages.TableSnapshot(
                                        table,
                                        replica.position().number(),
                                        replica.lastChange().number(),
                                        mServers.holdMillis(),
                                        replica.rows(),
                                        replica.position().era()));
                    }
                });
        return snapshots;
    }
}
