package org.redwingladder.entry;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A store client whose calls stay pending until the test completes them. */
final class ScriptedStoreClient implements StoreClient {
    private final Map<StoreTable, Callback<VersionedRows>> mReads = new EnumMap<>(StoreTable.class);
    private final Map<StoreTable, Callback<VersionedRows>> mPolls = new EnumMap<>(StoreTable.class);

    @Override
    public void readTable(StoreTable table, long deadlineNanos, Callback<VersionedRows> callback) {
        mReads.put(table, callback);
    }

    @Override
    public void pollChanges(
            StoreTable table,
            long afterPosition,
            long waitMillis,
            long deadlineNanos,
            Callback<VersionedRows> callback) {
        mPolls.put(table, callback);
    }

    @Override
    public void writeHostRow(
            String key, byte @Nullable [] value, long deadlineNanos, Callback<Long> callback) {
        callback.succeeded(1L);
    }

    /** Returns whether a read of a table is pending. */
    boolean readPending(StoreTable table) {
        return mReads.containsKey(table);
    }

    /** Returns whether a long poll for changes of a table is pending. */
    boolean pollPending(StoreTable table) {
        return mPolls.containsKey(table);
    }

    /** Completes the pending read of a table of a store that states no era. */
    void completeRead(StoreTable table, long position, StoreRow... rows) {
        completeRead(table, new StoreVersion(0, position), rows);
    }

    /** Completes the pending read of a table. */
    void completeRead(StoreTable table, StoreVersion position, StoreRow... rows) {
        mReads.remove(table).succeeded(new VersionedRows(List.of(rows), position));
    }

    /** Completes the pending long poll for changes of a table of a store that states no era. */
    void completePoll(StoreTable table, long position, StoreRow... rows) {
        completePoll(table, new StoreVersion(0, position), rows);
    }

    /** Completes the pending long poll for changes of a table. */
    void completePoll(StoreTable table, StoreVersion position, StoreRow... rows) {
        mPolls.remove(table).succeeded(new VersionedRows(List.of(rows), position));
    }

    /** Fails the pending long poll for changes of a table. */
    void failPoll(StoreTable table, StoreException.Reason reason) {
        mPolls.remove(table).failed(new StoreException(reason, "scripted"));
    }

    /** Answers the pending long poll that a store of an era does not have the history. */
    void losePollHistory(StoreTable table, long era) {
        mPolls.remove(table)
                .failed(new StoreException(StoreException.Reason.HISTORY_LOST, "scripted", era));
    }

    /** Fails the pending read of a table. */
    void failRead(StoreTable table, StoreException.Reason reason) {
        mReads.remove(table).failed(new StoreException(reason, "scripted"));
    }
}
