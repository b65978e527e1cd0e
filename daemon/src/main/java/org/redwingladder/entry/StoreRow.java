package org.redwingladder.entry;

import org.jspecify.annotations.Nullable;

/**
 * Holds one row, or its removal.
 *
 * @param key the row's key
 * @param version rises with each change of any row
 * @param value the bytes, null if the row was removed
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreRow(String key, long version, byte @Nullable [] value) {}
