package org.redwingladder.entry;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * The instants up to which this host's replicas are proven to contain all changes that the store
 * had confirmed. A proof comes from a response of the store or from another host that has one.
 */
final class StoreFreshness {
    /** Longer than the time between two proofs that a reader gets from a slow store. */
    private static final long READER_OUTDATED_NANOS = 1_600_000_000L;

    private final Map<StoreTable, Long> mProvenNanos = new EnumMap<>(StoreTable.class);
    private final Map<StoreTable, Long> mProvenByStoreNanos = new EnumMap<>(StoreTable.class);
    private final long mStartNanos;
    private LongConsumer mServersProofListener = provenNanos -> {};
    private boolean mWatching;
    private long mWatchingSinceNanos;

    StoreFreshness(long nowNanos) {
        mStartNanos = nowNanos;
    }

    /** Records a proof by a response of the store. */
    void provenByStore(StoreTable table, long provenNanos) {
        advance(mProvenByStoreNanos, table, provenNanos);
        advance(mProvenNanos, table, provenNanos);
    }

    /** Returns whether this host has read a table from the store itself. */
    boolean everProvenByStore(StoreTable table) {
        return mProvenByStoreNanos.containsKey(table);
    }

    /** Records a proof by the statement of another host. */
    void provenByHost(StoreTable table, long provenNanos) {
        advance(mProvenNanos, table, provenNanos);
        if (table == StoreTable.SERVERS) {
            mServersProofListener.accept(provenNanos);
        }
    }

    /** Sets a listener for the instants up to which other hosts prove the servers table. */
    void onServersProvenByHost(LongConsumer listener) {
        mServersProofListener = listener;
    }

    private static void advance(Map<StoreTable, Long> proofs, StoreTable table, long provenNanos) {
        proofs.merge(table, provenNanos, (a, b) -> a - b >= 0 ? a : b);
    }

    /** Records whether this host follows the store. */
    void watching(boolean watching, long nowNanos) {
        if (watching && !mWatching) {
            mWatchingSinceNanos = nowNanos;
        }
        mWatching = watching;
    }

    /** Returns whether this host follows the store. */
    boolean watching() {
        return mWatching;
    }

    /** Returns whether this host follows the store but has had no response of it for too long. */
    boolean readerOutdated(long nowNanos) {
        if (!mWatching || nowNanos - mWatchingSinceNanos <= READER_OUTDATED_NANOS) {
            return false;
        }
        return mProvenByStoreNanos.values().stream()
                .anyMatch(proven -> nowNanos - proven > READER_OUTDATED_NANOS);
    }

    /** Returns the age of the proof of a table in milliseconds, rounded up; empty without one. */
    OptionalLong ageMillis(StoreTable table, long nowNanos) {
        Long proven = mProvenNanos.get(table);
        return proven == null
                ? OptionalLong.empty()
                : OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(nowNanos - proven) + 1);
    }

    /** Returns the present age of the proof of a table in milliseconds, -1 without one. */
    long loggedAge(StoreTable table) {
        return ageMillis(table, System.nanoTime()).orElse(-1);
    }

    /** Returns the instant of the last proof of a table, or of the start if there is none. */
    long provenNanos(StoreTable table) {
        return mProvenNanos.getOrDefault(table, mStartNanos);
    }

    /** Returns the instant of the oldest of the last proofs. */
    long oldestProvenNanos() {
        long control = provenNanos(StoreTable.CONTROL);
        long servers = provenNanos(StoreTable.SERVERS);
        return control - servers <= 0 ? control : servers;
    }
}
