package org.redwingladder.entry;

import org.jspecify.annotations.Nullable;

/**
 * A row of the platform's store, or the tombstone of a deleted one.
 *
 * @param key the row's key
 * @param version the version of the row's last change; versions increase across all rows
 * @param value the bytes, null if the row was deleted
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreRow(String key, long version, byte @Nullable [] value) {}
