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
import org.redwingladder.steering.LapseHold;
import org.redwingladder.steering.ServerEntry;
import org.redwingladder.steering.SteeringSettings;
import org.xnio.XnioIoThread;

/**
 * Keeps what the store says and tells the changes.
 *
 * <p>Rows come from the store or, while the store turns this host away, from other hosts. A row
 * that cannot be read is logged once and has no effect; settings never go back.
 */
final class StoreReplica implements TableWatcher.Sink {
    private final RowDecoder mCodec;
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final Receiver mReceiver;
    private final Map<StoreTable, TableReplica> mImages = new EnumMap<>(StoreTable.class);
    private final Map<StoreTable, TableWatcher> mFollowers = new EnumMap<>(StoreTable.class);
    private final Map<String, Decoded> mServers = new HashMap<>();
    private final Map<String, Long> mReported = new HashMap<>();
    private final LapseHold mHold = LapseHold.create();
    private @Nullable SteeringSettings mSettings;
    private Set<String> mEvacuated = Set.of();
    private Map<String, ServerEntry> mUsed = Map.of();
    private boolean mServersKnown;
    private boolean mReleaseScheduled;
    private Passer mPasser = changes -> {};

    /** Receives changes of what is believed. */
    interface Receiver {
        void settings(SteeringSettings settings);

        void evacuated(Set<String> zones);

        void servers(Map<String, ServerEntry> servers);
    }

    private record Decoded(long version, @Nullable ServerEntry entry) {}

    /** Names where a change of a table came from. */
    private enum Source {
        STORE,
        PUSH,
        COPY,
        HOLD_END
    }

    StoreReplica(RowDecoder codec, XnioIoThread thread, EventLog log, Receiver receiver) {
        mCodec = codec;
        mThread = thread;
        mLog = log;
        mReceiver = receiver;
        mImages.put(StoreTable.CONTROL, new TableReplica());
        mImages.put(StoreTable.SERVERS, new TableReplica());
    }

    /** Passes changes on to other hosts. */
    interface Passer {
        void pass(PeerMessages.TableChanges changes);
    }

    void start(StoreClient store, Passer passer) {
        mPasser = passer;
        for (StoreTable table : mImages.keySet()) {
            TableWatcher follower = new TableWatcher(table, store, mThread, this, mLog);
            mFollowers.put(table, follower);
            follower.start();
        }
    }

    void stop() {
        mFollowers.values().forEach(TableWatcher::stop);
    }

    /** Sets whether this host follows the store itself. */
    void follow(boolean following) {
        mFollowers.forEach(
                (table, follower) -> follower.following(following, mImages.get(table).position()));
    }

    /** Returns whether the store answered when this host last asked. */
    boolean storeReachable() {
        return mFollowers.values().stream().noneMatch(TableWatcher::lastFailed);
    }

    /** Returns whether requests can be routed. */
    boolean ready() {
        return mSettings != null && mServersKnown;
    }

    @Nullable SteeringSettings settings() {
        return mSettings;
    }

    TableReplica image(StoreTable table) {
        return mImages.get(table);
    }

    boolean healthy(StoreTable table) {
        TableWatcher follower = mFollowers.get(table);
        return follower != null && follower.healthy();
    }

    @Override
    public boolean replace(StoreTable table, List<StoreRow> rows, long position) {
        TableReplica image = mImages.get(table);
        long after = image.position();
        List<StoreRow> changes = image.changesTo(rows, position);
        // Removals before the reading are not listed, so that the reading's position stands in.
        if (!image.replace(rows, position, position)) {
            return false;
        }
        boolean firstReading = after == 0;
        if (!firstReading) {
            pass(table, after, position, changes);
        }
        changed(table, Source.STORE);
        return true;
    }

    @Override
    public void changes(StoreTable table, List<StoreRow> rows, long position) {
        long after = mImages.get(table).position();
        mImages.get(table).apply(rows, position);
        pass(table, after, position, rows);
        if (!rows.isEmpty()) {
            changed(table, Source.STORE);
        }
    }

    private void pass(StoreTable table, long after, long position, List<StoreRow> rows) {
        if (!rows.isEmpty()) {
            mPasser.pass(new PeerMessages.TableChanges(table, after, position, holdMillis(), rows));
        }
    }

    /** Takes over changes that another host passes on; false if changes before them are missing. */
    boolean passed(PeerMessages.TableChanges changes) {
        TableReplica image = mImages.get(changes.table());
        if (image.position() < changes.after()) {
            return false;
        }
        if (image.position() < changes.position()) {
            hold(changes.holdMillis());
            image.apply(changes.rows(), changes.position());
            changed(changes.table(), Source.PUSH);
        }
        return true;
    }

    private long holdMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mHold.leftNanos(System.nanoTime()));
    }

    private void hold(long millis) {
        mHold.othersHold(TimeUnit.MILLISECONDS.toNanos(millis), System.nanoTime());
    }

    @Override
    public void answered(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mHold.storeAnswers(System.nanoTime());
        }
    }

    @Override
    public void failed(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mHold.storeFailed();
        }
    }

    @Override
    public void notAsked(StoreTable table) {
        if (table == StoreTable.SERVERS) {
            mHold.storeNotAsked();
        }
    }

    /** Takes over another host's copy of a table that is ahead of this host's. */
    void adopt(PeerMessages.TableSnapshot copy) {
        StoreTable table = copy.table();
        long position = copy.position();
        TableReplica image = mImages.get(table);
        if (position <= image.position() || !image.replace(copy.rows(), position, copy.changed())) {
            return;
        }
        hold(copy.holdMillis());
        mLog.event("state", "adopted").with("table", table).with("position", position).write();
        changed(table, Source.COPY);
        if (healthy(table)) {
            // The waiting call is silent or behind; a new one starts from what is known now.
            mFollowers.get(table).follow(position);
        }
    }

    private void changed(StoreTable table, Source source) {
        if (table == StoreTable.CONTROL) {
            control();
        } else {
            servers(source);
        }
    }

    private void control() {
        Set<String> evacuated = new HashSet<>();
        for (StoreRow row : mImages.get(StoreTable.CONTROL).rows()) {
            byte[] value = row.value();
            if (value == null) {
                continue;
            }
            try {
                switch (mCodec.control(row.key(), value)) {
                    case RowDecoder.ControlRow.Settings read -> settings(read.settings());
                    case RowDecoder.ControlRow.Evacuation read -> evacuated.add(read.zone());
                    case RowDecoder.ControlRow.Other other -> {}
                }
            } catch (RowDecoder.MalformedRowException e) {
                malformed(row, e);
            }
        }
        if (!evacuated.equals(mEvacuated)) {
            mEvacuated = evacuated;
            mLog.event("state", "evacuated").with("zones", evacuated).write();
            mReceiver.evacuated(evacuated);
        }
    }

    private void settings(SteeringSettings settings) {
        SteeringSettings known = mSettings;
        if (known != null && settings.version() <= known.version()) {
            return;
        }
        mSettings = settings;
        mLog.event("state", "settings")
                .with("version", settings.version())
                .with("routes", settings.routes().size())
                .write();
        mReceiver.settings(settings);
    }

    private void malformed(StoreRow row, RowDecoder.MalformedRowException cause) {
        Long reported = mReported.put(row.key(), row.version());
        if (reported == null || reported != row.version()) {
            mLog.event("state", "malformed-row")
                    .with("key", row.key())
                    .with("version", row.version())
                    .with("cause", cause.getMessage())
                    .write();
        }
    }

    private void servers(Source source) {
        long now = System.nanoTime();
        Map<String, ServerEntry> registered = new HashMap<>();
        List<StoreRow> rows = mImages.get(StoreTable.SERVERS).rows();
        Set<String> keys = new HashSet<>();
        for (StoreRow row : rows) {
            keys.add(row.key());
            Decoded decoded = mServers.get(row.key());
            if (decoded == null || decoded.version() != row.version()) {
                decoded = new Decoded(row.version(), decode(row, now));
                mServers.put(row.key(), decoded);
            }
            ServerEntry entry = decoded.entry();
            if (entry != null) {
                registered.put(entry.id(), entry);
            }
        }
        mServers.keySet().retainAll(keys);
        mServersKnown = true;
        use(mHold.update(registered, now), source);
        if (mHold.holdsAny()) {
            mLog.event("state", "lapsed-servers-held")
                    .with("servers", String.join(" ", mHold.held()))
                    .with("millis", holdMillis())
                    .write();
            releaseLater();
        }
    }

    private void releaseLater() {
        if (!mReleaseScheduled) {
            mReleaseScheduled = true;
            mThread.executeAfter(
                    this::releaseHeld,
                    mHold.leftNanos(System.nanoTime()) + 1,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void releaseHeld() {
        mReleaseScheduled = false;
        if (mHold.holdsAny()) {
            use(mHold.current(System.nanoTime()), Source.HOLD_END);
        }
        if (mHold.holdsAny()) {
            releaseLater();
        }
    }

    private void use(Map<String, ServerEntry> servers, Source source) {
        StringBuilder left = new StringBuilder();
        mUsed.forEach(
                (id, before) -> {
                    ServerEntry now = servers.get(id);
                    if (now == null) {
                        left.append(left.isEmpty() ? "" : " ").append(id).append(":GONE");
                    } else if (now.draining() && !before.draining()) {
                        left.append(left.isEmpty() ? "" : " ").append(id).append(":DRAINING");
                    }
                });
        mUsed = Map.copyOf(servers);
        if (!left.isEmpty()) {
            mLog.event("state", "servers-left")
                    .with("servers", left)
                    .with("position", mImages.get(StoreTable.SERVERS).position())
                    .with("source", source)
                    .write();
        }
        mReceiver.servers(servers);
    }

    private @Nullable ServerEntry decode(StoreRow row, long now) {
        byte[] value = row.value();
        if (value == null) {
            return null;
        }
        try {
            return mCodec.server(row.key(), value, now);
        } catch (RowDecoder.MalformedRowException e) {
            malformed(row, e);
            return null;
        }
    }

    /** Returns the tables as they are passed on to other hosts. */
    List<PeerMessages.TableSnapshot> copies(Map<StoreTable, Long> positions) {
        List<PeerMessages.TableSnapshot> copies = new ArrayList<>();
        mImages.forEach(
                (table, image) -> {
                    if (image.position() > positions.getOrDefault(table, -1L)) {
                        copies.add(
                                new PeerMessages.TableSnapshot(
                                        table,
                                        image.position(),
                                        image.changed(),
                                        holdMillis(),
                                        image.rows()));
                    }
                });
        return copies;
    }
}
