package org.redwingladder.entry;

import org.jspecify.annotations.Nullable;

/**
 * Asynchronous client of the platform's versioned key-value store; callbacks run on the I/O thread.
 */
public interface StoreClient {

    /**
     * Handles the completion of a call.
     *
     * @param <T> the type of the result
     */
    interface Callback<T> {
        /** Called with the result of a successful call. */
        void succeeded(T result);

        /** Called if the call failed; the outcome of a write may be unknown. */
        void failed(StoreException cause);
    }

    /** Reads all rows of a table. */
    void readTable(StoreTable table, long deadlineNanos, Callback<VersionedRows> callback);

    /**
     * Long-polls for changes of a table.
     *
     * @param afterPosition the position after which changes are returned
     * @param waitMillis the longest time that the store waits for a change before it answers
     */
    void pollChanges(
            StoreTable table,
            long afterPosition,
            long waitMillis,
            long deadlineNanos,
            Callback<VersionedRows> callback);

    /** Writes the registration row of an entry host, or deletes it if {@code value} is null. */
    void writeHostRow(
            String key, byte @Nullable [] value, long deadlineNanos, Callback<Long> callback);
}
