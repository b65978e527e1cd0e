package org.redwingladder.entry;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Follows one table of the platform's store: reads it once and, once this host is to follow the
 * store, waits for its changes.
 */
final class TableWatcher {
    /** Bounds how long a connection that went silent unnoticed keeps changes from this host. */
    private static final long WAIT_MILLIS = 2_000;

    /** Time for the answer of a waiting call beyond its wait; a slow store takes 250 ms. */
    private static final long WAIT_SLACK_MILLIS = 1_000;

    /** Time for reading a table, which takes a small host up to a second at its start. */
    private static final long READ_MILLIS = 1_500;

    /** Gathers changes that come together; a leaving server may get requests for seconds. */
    private static final long GATHER_MILLIS = 100;

    private static final long FIRST_BACK_OFF_MILLIS = 150;
    private static final long LONGEST_BACK_OFF_MILLIS = 1_000;

    private final StoreTable mTable;
    private final StoreClient mStore;
    private final XnioIoThread mThread;
    private final Sink mSink;
    private final EventLog mLog;
    private XnioExecutor.@Nullable Key mRetry;
    private long mBackOffMillis = FIRST_BACK_OFF_MILLIS;
    private long mGeneration;
    private boolean mHealthy;
    private boolean mLossTold;
    private boolean mStopped;
    private boolean mFollowing;
    private boolean mLastFailed;
    private boolean mRead;

    /** Receives what the store says. */
    interface Sink {
        /** Takes over a whole table; false if it is older than what is known. */
        boolean replace(StoreTable table, List<StoreRow> rows, long position);

        void changes(StoreTable table, List<StoreRow> rows, long position);

        void answered(StoreTable table);

        void failed(StoreTable table);

        /** Learns that the table is not asked for any more, since other hosts tell its changes. */
        void notAsked(StoreTable table);
    }

    TableWatcher(
            StoreTable table, StoreClient store, XnioIoThread thread, Sink sink, EventLog log) {
        mTable = table;
        mStore = store;
        mThread = thread;
        mSink = sink;
        mLog = log;
    }

    boolean healthy() {
        return mHealthy;
    }

    /** Returns whether the store did not answer when it was last asked. */
    boolean lastFailed() {
        return mLastFailed;
    }

    /** Sets whether this host waits for changes itself or relies on others to tell them. */
    void following(boolean following, long position) {
        if (following == mFollowing || mStopped) {
            return;
        }
        mFollowing = following;
        mLog.event("store", following ? "follows" : "relies-on-others")
                .with("table", mTable)
                .with("position", position)
                .with("lastFailed", mLastFailed)
                .write();
        if (!following) {
            if (mRead) {
                stopAsking();
            }
            return;
        }
        if (mRead) {
            follow(position);
        }
    }

    /** Forgets how the last call ended, which says less and less of the store. */
    private void stopAsking() {
        mGeneration++;
        if (mRetry != null) {
            mRetry.remove();
            mRetry = null;
        }
        mHealthy = false;
        mLastFailed = false;
        mLossTold = false;
        mSink.notAsked(mTable);
    }

    /** Reads the table anew, whatever call is under way. */
    void start() {
        long generation = ++mGeneration;
        mRetry = null;
        mStore.read(
                mTable,
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_MILLIS),
                new Receiver(generation, true));
    }

    void stop() {
        mStopped = true;
        mGeneration++;
        if (mRetry != null) {
            mRetry.remove();
        }
    }

    /** Goes on from a position that another host had. */
    void follow(long position) {
        if (!mFollowing) {
            return;
        }
        if (mRetry != null) {
            mRetry.remove();
            mRetry = null;
        }
        long generation = ++mGeneration;
        mStore.changes(
                mTable,
                position,
                WAIT_MILLIS,
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS + WAIT_SLACK_MILLIS),
                new Receiver(generation, false));
    }

    private void followLater(long position) {
        if (mFollowing) {
            mRetry =
                    mThread.executeAfter(
                            () -> follow(position), GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void answered() {
        mLastFailed = false;
        mRead = true;
        mLossTold = false;
        if (!mHealthy) {
            mHealthy = true;
            mLog.event("store", "regained").with("table", mTable).write();
        }
        mBackOffMillis = FIRST_BACK_OFF_MILLIS;
        mSink.answered(mTable);
    }

    private void retryLater() {
        long jitter = ThreadLocalRandom.current().nextLong(mBackOffMillis);
        mRetry =
                mThread.executeAfter(
                        this::start, mBackOffMillis / 2 + jitter, TimeUnit.MILLISECONDS);
        mBackOffMillis = Math.min(LONGEST_BACK_OFF_MILLIS, mBackOffMillis * 2);
    }

    private final class Receiver implements StoreClient.Receiver<VersionedRows> {
        private final long mOf;
        private final boolean mWhole;

        Receiver(long generation, boolean whole) {
            mOf = generation;
            mWhole = whole;
        }

        @Override
        public void done(VersionedRows page) {
            if (mOf != mGeneration || mStopped) {
                return;
            }
            answered();
            if (!mWhole) {
                mSink.changes(mTable, page.rows(), page.position());
            } else if (!mSink.replace(mTable, page.rows(), page.position())) {
                mLog.event("store", "stale-read")
                        .with("table", mTable)
                        .with("position", page.position())
                        .write();
                retryLater();
                return;
            }
            followLater(page.position());
        }

        @Override
        public void failed(StoreException cause) {
            if (mOf != mGeneration || mStopped) {
                return;
            }
            if (cause.reason() == StoreException.Reason.HISTORY_LOST) {
                mLastFailed = false;
                mLog.event("store", "history-lost").with("table", mTable).write();
                start();
                return;
            }
            mHealthy = false;
            if (!mLossTold) {
                mLossTold = true;
                mLog.event("store", "lost")
                        .with("table", mTable)
                        .with("reason", cause.reason())
                        .with("cause", cause.getMessage())
                        .write();
            }
            mLastFailed = true;
            mSink.failed(mTable);
            if (mFollowing || !mRead) {
                retryLater();
            }
        }
    }
}
