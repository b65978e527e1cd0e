package org.redwingladder.entry;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioIoThread;

/** A store in memory that hosts reach by clients of their own, which can fall silent. */
final class MemoryStore {
    private final Map<StoreTable, Map<String, StoreRow>> mRows = new EnumMap<>(StoreTable.class);
    private final List<Runnable> mWaiting = new ArrayList<>();
    private long mVersion;

    /** Writes a row and answers the long polls. */
    synchronized void put(StoreTable table, String key, byte[] value) {
        mVersion++;
        mRows.computeIfAbsent(table, t -> new TreeMap<>())
                .put(key, new StoreRow(key, mVersion, value));
        List<Runnable> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(Runnable::run);
    }

    private synchronized VersionedRows rowsAfter(StoreTable table, long position) {
        List<StoreRow> rows =
                mRows.getOrDefault(table, Map.of()).values().stream()
                        .filter(row -> row.version() > position)
                        .toList();
        return new VersionedRows(rows, new StoreVersion(0, mVersion));
    }

    private synchronized void awaitChange(Runnable answer) {
        mWaiting.add(answer);
    }

    /** The client of one host; calls of a silent one never end. */
    final class Client implements StoreClient {
        private final XnioIoThread mThread;
        private volatile boolean mSilent;
        private volatile int mPolls;

        Client(XnioIoThread thread) {
            mThread = thread;
        }

        void fallSilent() {
            mSilent = true;
        }

        int polls() {
            return mPolls;
        }

        @Override
        public void readTable(
                StoreTable table, long deadlineNanos, Callback<VersionedRows> callback) {
            answer(callback, () -> rowsAfter(table, -1));
        }

        @Override
        public void pollChanges(
                StoreTable table,
                long afterPosition,
                long waitMillis,
                long deadlineNanos,
                Callback<VersionedRows> callback) {
            mPolls++;
            Runnable answer = answerOnce(callback, () -> rowsAfter(table, afterPosition));
            if (!rowsAfter(table, afterPosition).rows().isEmpty()) {
                mThread.execute(answer);
                return;
            }
            awaitChange(() -> mThread.execute(answer));
            mThread.executeAfter(answer, waitMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void writeHostRow(
                String key, byte @Nullable [] value, long deadlineNanos, Callback<Long> callback) {
            answer(callback, () -> 1L);
        }

        private <T> void answer(Callback<T> callback, Supplier<T> result) {
            mThread.execute(answerOnce(callback, result));
        }

        private <T> Runnable answerOnce(Callback<T> callback, Supplier<T> result) {
            boolean[] answered = {false};
            return () -> {
                if (!mSilent && !answered[0]) {
                    answered[0] = true;
                    callback.succeeded(result.get());
                }
            };
        }
    }
}
