package org.redwingladder.entry;

import java.util.List;

/**
 * A snapshot of a table or a batch of its changes.
 *
 * @param rows the rows, in ascending order of their keys (snapshot) or versions (changes)
 * @param position the store version that the rows reflect
 */
public record VersionedRows(List<StoreRow> rows, StoreVersion position) {
    public VersionedRows {
        rows = List.copyOf(rows);
    }
}
