package org.redwingladder.entry;

import org.jspecify.annotations.Nullable;

/** Calls the platform's store. The receivers run on the I/O thread. */
public interface StoreClient {

    /**
     * Receives the result of a call.
     *
     * @param <T> the result
     */
    interface Receiver<T> {
        /** Receives the result. */
        void done(T result);

        /** Receives the reason why there is none. */
        void failed(StoreException cause);
    }

    /** Reads a whole table. */
    void read(StoreTable table, long deadlineNanos, Receiver<VersionedRows> receiver);

    /**
     * Waits for changes of a table.
     *
     * @param afterPosition the position after which changes are wanted
     * @param waitMillis how long the store may wait for a change
     */
    void changes(
            StoreTable table,
            long afterPosition,
            long waitMillis,
            long deadlineNanos,
            Receiver<VersionedRows> receiver);

    /** Writes the row of an entry host, or removes it if {@code value} is null. */
    void writeHost(
            String key, byte @Nullable [] value, long deadlineNanos, Receiver<Long> receiver);
}
