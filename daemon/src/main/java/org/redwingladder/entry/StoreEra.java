package org.redwingladder.entry;

import java.util.concurrent.TimeUnit;

/** The latest era of the store that this host has seen. It never decreases. Not thread-safe. */
final class StoreEra {
    /** Answers of an earlier era may arrive with each call and message. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final EventLog mLog;
    private Runnable mRestoreListener = () -> {};
    private long mEra;
    private long mNextLogNanos;
    private boolean mLogged;

    /** Who stated an era. */
    enum Source {
        STORE,
        PEER
    }

    StoreEra(EventLog log) {
        mLog = log;
    }

    /** Sets what runs when a known era was followed by a later one. */
    void onRestore(Runnable listener) {
        mRestoreListener = listener;
    }

    /** Returns the latest era, 0 if none was stated. */
    long current() {
        return mEra;
    }

    /** Records an era; returns whether it is later than those seen before. */
    boolean raise(long era, Source source) {
        if (era <= mEra) {
            return false;
        }
        long before = mEra;
        mEra = era;
        mLog.event("store", "era")
                .with("era", era)
                .with("before", before)
                .with("source", source)
                .write();
        // A store that begins to state its era has lost nothing.
        if (before != 0) {
            mRestoreListener.run();
        }
        return true;
    }

    /** Logs that rows of an earlier era were dropped, at most once in 10 s. */
    void logDropped(StoreTable table, StoreVersion position, Source source) {
        long now = System.nanoTime();
        if (mLogged && now - mNextLogNanos < 0) {
            return;
        }
        mLogged = true;
        mNextLogNanos = now + LOG_INTERVAL_NANOS;
        mLog.event("store", "earlier-era")
                .with("table", table)
                .with("position", position.number())
                .with("era", position.era())
                .with("current", mEra)
                .with("source", source)
                .write();
    }
}
