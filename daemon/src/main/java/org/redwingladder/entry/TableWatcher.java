package org.redwingladder.entry;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Reads one table of the platform's store and, while watching is enabled, long-polls for its
 * changes.
 *
 * <p>Failed calls are retried with exponential back-off. If the store has compacted the changes
 * after the current position, the whole table is read again.
 */
final class TableWatcher {
    /**
     * The age of the last proof that the table is up to date at which a long poll ends; shorter
     * than the age at which hosts ask for another proof.
     */
    private static final long PROOF_PERIOD_MILLIS = 1_000;

    /** Network and store time beyond the wait of a long poll; a slow store takes 250 ms. */
    private static final long LONG_POLL_SLACK_MILLIS = 1_000;

    /** Reading a table takes up to a second on a small host that has just started. */
    private static final long READ_TIMEOUT_MILLIS = 1_500;

    /** Coalesces bursts of changes; a draining server may get requests for some more seconds. */
    private static final long COALESCE_MILLIS = 100;

    /** Bounds the reads while hosts of a build without eras push changes: 2 a second and host. */
    private static final long EXTRA_READ_MILLIS = 1_000;

    private static final long MIN_BACK_OFF_MILLIS = 150;
    private static final long MAX_BACK_OFF_MILLIS = 1_000;

    private final StoreTable mTable;
    private final StoreClient mStore;
    private final XnioIoThread mThread;
    private final Listener mListener;
    private final EventLog mLog;
    private XnioExecutor.@Nullable Key mRetry;
    private long mBackOffMillis = MIN_BACK_OFF_MILLIS;
    private long mGeneration;
    private boolean mHealthy;
    private boolean mFailureLogged;
    private boolean mStopped;
    private boolean mWatching;
    private boolean mLastFailed;
    private boolean mTableRead;
    private boolean mReading;
    private StoreVersion mPolledPosition = StoreVersion.NONE;
    private long mProvenNanos = System.nanoTime();
    private long mNextExtraReadNanos;
    private boolean mExtraRead;

    /** Receives the rows of the table and the state of the watch. */
    interface Listener {
        /**
         * Replaces the table by a snapshot; returns false if the snapshot is older than the
         * replica.
         */
        boolean replace(StoreTable table, List<StoreRow> rows, StoreVersion position);

        /** Applies changes that follow the previous position. */
        void apply(StoreTable table, List<StoreRow> rows, StoreVersion position);

        /** Returns the latest era of the store that this host has seen. */
        long era();

        /** Called with the era of a response that has no rows to deliver. */
        void eraSeen(long era);

        /** Called with the position of rows that were dropped because their era has ended. */
        void earlierEraSeen(StoreTable table, StoreVersion position);

        /** Called after each successful call to the store, before its rows are delivered. */
        void callSucceeded(StoreTable table);

        /** Called after each failed call to the store, except if only its history is compacted. */
        void callFailed(StoreTable table);

        /** Called when watching is disabled, because peers push the changes of the table. */
        void watchDisabled(StoreTable table);

        /**
         * Called after rows were delivered, with the latest instant up to which they are certain to
         * contain all confirmed changes.
         */
        default void proven(StoreTable table, long provenNanos) {}
    }

    TableWatcher(
            StoreTable table,
            StoreClient store,
            XnioIoThread thread,
            Listener listener,
            EventLog log) {
        mTable = table;
        mStore = store;
        mThread = thread;
        mListener = listener;
        mLog = log;
    }

    /** Returns whether the last call succeeded and watching has not been disabled since. */
    boolean healthy() {
        return mHealthy;
    }

    /** Returns whether the last call to the store failed; compacted history is not a failure. */
    boolean lastFailed() {
        return mLastFailed;
    }

    /**
     * Enables or disables watching. A host that does not watch relies on the pushes of its peers.
     *
     * @param position the position after which changes are watched
     */
    void setWatching(boolean watching, StoreVersion position) {
        if (watching == mWatching || mStopped) {
            return;
        }
        mWatching = watching;
        mLog.event("store", watching ? "follows" : "relies-on-others")
                .with("table", mTable)
                .with("position", position.number())
                .with("era", position.era())
                .with("lastFailed", mLastFailed)
                .with("reading", mReading)
                .write();
        if (!watching) {
            if (mTableRead) {
                disableWatch();
            }
            return;
        }
        if (mTableRead) {
            watchFrom(position);
        }
    }

    /**
     * Resets the result of the last call too, which becomes stale without further calls. The
     * response of a call in flight is still delivered, since it may hold changes that no other host
     * has read.
     */
    private void disableWatch() {
        if (mRetry != null) {
            mRetry.remove();
            mRetry = null;
        }
        mHealthy = false;
        mLastFailed = false;
        mFailureLogged = false;
        mListener.watchDisabled(mTable);
    }

    /** Reads the whole table; the response of a call in flight is ignored. */
    void readTable() {
        long generation = ++mGeneration;
        if (mRetry != null) {
            mRetry.remove();
            mRetry = null;
        }
        mReading = true;
        long now = System.nanoTime();
        mStore.readTable(
                mTable,
                now + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MILLIS),
                new ResponseCallback(generation, true, now, 0));
    }

    /** Reads the table if this host watches it, since the store has a later era than its rows. */
    void eraRaised() {
        if (mWatching && !mReading && !mStopped) {
            readTable();
        }
    }

    /** Reads the table if this host does not watch it and has not just read it in this way. */
    boolean readUnwatched() {
        long now = System.nanoTime();
        boolean recent = mExtraRead && now - mNextExtraReadNanos < 0;
        if (mWatching || !mTableRead || mReading || recent || mStopped) {
            return false;
        }
        mExtraRead = true;
        mNextExtraReadNanos = now + TimeUnit.MILLISECONDS.toNanos(EXTRA_READ_MILLIS);
        readTable();
        return true;
    }

    void stop() {
        mStopped = true;
        mGeneration++;
        if (mRetry != null) {
            mRetry.remove();
        }
    }

    /** Restarts the watch from a position if watching is enabled; a call in flight is ignored. */
    void watchFrom(StoreVersion position) {
        if (!mWatching) {
            return;
        }
        if (mRetry != null) {
            mRetry.remove();
            mRetry = null;
        }
        long generation = ++mGeneration;
        mReading = false;
        mPolledPosition = position;
        long now = System.nanoTime();
        long proofAge = TimeUnit.NANOSECONDS.toMillis(now - mProvenNanos);
        long wait = Math.clamp(PROOF_PERIOD_MILLIS - proofAge, 0, PROOF_PERIOD_MILLIS);
        mStore.pollChanges(
                mTable,
                position.number(),
                wait,
                now + TimeUnit.MILLISECONDS.toNanos(wait + LONG_POLL_SLACK_MILLIS),
                new ResponseCallback(generation, false, now, wait));
    }

    private void scheduleWatch(StoreVersion position, long delayMillis) {
        if (mWatching) {
            mRetry =
                    mThread.executeAfter(
                            () -> watchFrom(position), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void recordSuccess() {
        if (!mWatching && mTableRead) {
            mListener.callSucceeded(mTable);
            return;
        }
        mLastFailed = false;
        mTableRead = true;
        mFailureLogged = false;
        if (!mHealthy) {
            mHealthy = true;
            mLog.event("store", "regained").with("table", mTable).write();
        }
        mBackOffMillis = MIN_BACK_OFF_MILLIS;
        mListener.callSucceeded(mTable);
    }

    private void recordFailure() {
        mHealthy = false;
        if (mWatching || !mTableRead) {
            mLastFailed = true;
            mListener.callFailed(mTable);
            scheduleRetry();
        }
    }

    /** Reads the table, which another one's watch begins, too, if the store has a later era. */
    private void readAfterRestore(long era) {
        mListener.eraSeen(era);
        if (!mReading) {
            readTable();
        }
    }

    private void scheduleRetry() {
        long jitter = ThreadLocalRandom.current().nextLong(mBackOffMillis);
        mRetry =
                mThread.executeAfter(
                        this::readTable, mBackOffMillis / 2 + jitter, TimeUnit.MILLISECONDS);
        mBackOffMillis = Math.min(MAX_BACK_OFF_MILLIS, mBackOffMillis * 2);
    }

    private final class ResponseCallback implements StoreClient.Callback<VersionedRows> {
        private final long mCallGeneration;
        private final boolean mSnapshot;

        private final long mSentNanos;
        private final long mWaitMillis;

        ResponseCallback(long generation, boolean snapshot, long sentNanos, long waitMillis) {
            mCallGeneration = generation;
            mSnapshot = snapshot;
            mSentNanos = sentNanos;
            mWaitMillis = waitMillis;
        }

        @Override
        public void succeeded(VersionedRows read) {
            if (mCallGeneration != mGeneration || mStopped) {
                return;
            }
            StoreVersion position = read.position();
            mReading = false;
            if (position.era() < mListener.era()) {
                mListener.earlierEraSeen(mTable, position);
                recordFailure();
                return;
            }
            recordSuccess();
            if (!mSnapshot && position.era() != mPolledPosition.era()) {
                // The changes follow a table that this host never had.
                readAfterRestore(position.era());
                return;
            }
            try {
                if (!mSnapshot) {
                    mListener.apply(mTable, read.rows(), position);
                } else if (mListener.replace(mTable, read.rows(), position)) {
                    logRead("table-read", read);
                } else {
                    logRead("stale-read", read);
                    scheduleRetry();
                    return;
                }
            } catch (RuntimeException | StackOverflowError e) {
                // The watch must go on: later changes may be removals of servers.
                mLog.event("store", "delivery-failed")
                        .with("table", mTable)
                        .with("position", position.number())
                        .with("era", position.era())
                        .with("cause", e)
                        .write();
                mBackOffMillis = MAX_BACK_OFF_MILLIS;
                scheduleRetry();
                return;
            }
            // Without a change the store answers at the end of the wait.
            long waitEndNanos = mSentNanos + TimeUnit.MILLISECONDS.toNanos(mWaitMillis);
            boolean waited =
                    mWaitMillis > 0
                            && read.rows().isEmpty()
                            && System.nanoTime() - waitEndNanos >= 0;
            recordProof(waited ? waitEndNanos : mSentNanos);
            scheduleWatch(position, waited ? 0 : COALESCE_MILLIS);
        }

        private void recordProof(long provenNanos) {
            if (provenNanos - mProvenNanos > 0) {
                mProvenNanos = provenNanos;
            }
            mListener.proven(mTable, provenNanos);
        }

        private void logRead(String event, VersionedRows read) {
            mLog.event("store", event)
                    .with("table", mTable)
                    .with("position", read.position().number())
                    .with("era", read.position().era())
                    .with("rows", read.rows().size())
                    .write();
        }

        @Override
        public void failed(StoreException cause) {
            if (mCallGeneration != mGeneration || mStopped) {
                return;
            }
            mReading = false;
            if (cause.reason() == StoreException.Reason.HISTORY_LOST) {
                mLastFailed = false;
                mLog.event("store", "history-lost")
                        .with("table", mTable)
                        .with("position", mPolledPosition.number())
                        .with("era", cause.era())
                        .write();
                readAfterRestore(cause.era());
                return;
            }
            if (!mWatching && mTableRead) {
                return;
            }
            if (!mFailureLogged) {
                mFailureLogged = true;
                mLog.event("store", "lost")
                        .with("table", mTable)
                        .with("reason", cause.reason())
                        .with("cause", cause.getMessage())
                        .write();
            }
            recordFailure();
        }
    }
}
