package org.redwingladder.entry;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Keeps the calls of a host to the store until the test answers them. */
final class ScriptedStoreClient implements StoreClient {
    private final Map<StoreTable, Receiver<VersionedRows>> mReads = new EnumMap<>(StoreTable.class);
    private final Map<StoreTable, Receiver<VersionedRows>> mWaits = new EnumMap<>(StoreTable.class);

    @Override
    public void read(StoreTable table, long deadlineNanos, Receiver<VersionedRows> receiver) {
        mReads.put(table, receiver);
    }

    @Override
    public void changes(
            StoreTable table,
            long afterPosition,
            long waitMillis,
            long deadlineNanos,
            Receiver<VersionedRows> receiver) {
        mWaits.put(table, receiver);
    }

    @Override
    public void writeHost(
            String key, byte @Nullable [] value, long deadlineNanos, Receiver<Long> receiver) {
        receiver.done(1L);
    }

    /** Returns whether a reading of a table waits for its answer. */
    boolean reads(StoreTable table) {
        return mReads.containsKey(table);
    }

    /** Returns whether a call waits for changes of a table. */
    boolean waits(StoreTable table) {
        return mWaits.containsKey(table);
    }

    /** Answers the reading of a table. */
    void read(StoreTable table, long position, StoreRow... rows) {
        mReads.remove(table).done(new VersionedRows(List.of(rows), position));
    }

    /** Answers the call that waits for changes of a table. */
    void change(StoreTable table, long position, StoreRow... rows) {
        mWaits.remove(table).done(new VersionedRows(List.of(rows), position));
    }

    /** Fails the call that waits for changes of a table. */
    void failWait(StoreTable table, StoreException.Reason reason) {
        mWaits.remove(table).failed(new StoreException(reason, "scripted"));
    }

    /** Fails the reading of a table. */
    void failRead(StoreTable table, StoreException.Reason reason) {
        mReads.remove(table).failed(new StoreException(reason, "scripted"));
    }
}
