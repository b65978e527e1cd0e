package org.redwingladder.entry;

import java.util.List;

/**
 * Holds the rows of a table, or its changes.
 *
 * @param rows the rows in ascending order of their keys or versions
 * @param position the version that the rows reflect
 */
public record VersionedRows(List<StoreRow> rows, long position) {
    public VersionedRows {
        rows = List.copyOf(rows);
    }
}
