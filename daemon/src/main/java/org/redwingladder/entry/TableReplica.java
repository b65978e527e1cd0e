package org.redwingladder.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps a copy of one table of the store. It only moves forward: a reading that is older than the
 * copy is ignored. Not thread-safe.
 */
final class TableReplica {
    private final Map<String, StoreRow> mRows = new HashMap<>();
    private long mPosition;
    private long mChanged;

    /**
     * Takes over a whole table.
     *
     * @param changed the version of the last change that the reading is known to hold
     * @return false if the reading is older than the copy
     */
    boolean replace(List<StoreRow> rows, long position, long changed) {
        if (position < mPosition) {
            return false;
        }
        mRows.clear();
        for (StoreRow row : rows) {
            mRows.put(row.key(), row);
        }
        mPosition = position;
        mChanged = Math.max(mChanged, changed);
        return true;
    }

    /**
     * Returns the changes that lead from the copy to a reading of the whole table.
     *
     * @param position the reading's position, which stands in for the versions of removals
     */
    List<StoreRow> changesTo(List<StoreRow> reading, long position) {
        List<StoreRow> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (StoreRow row : reading) {
            present.add(row.key());
            StoreRow known = mRows.get(row.key());
            if (known == null || known.version() < row.version()) {
                changes.add(row);
            }
        }
        for (String key : mRows.keySet()) {
            if (!present.contains(key)) {
                changes.add(new StoreRow(key, position, null));
            }
        }
        return changes;
    }

    /** Takes over changes that follow the copy; what it already holds is passed over. */
    void apply(List<StoreRow> changes, long position) {
        for (StoreRow row : changes) {
            mChanged = Math.max(mChanged, row.version());
            if (row.version() <= mPosition) {
                continue;
            }
            if (row.value() == null) {
                mRows.remove(row.key());
            } else {
                mRows.put(row.key(), row);
            }
        }
        mPosition = Math.max(mPosition, position);
    }

    List<StoreRow> rows() {
        return new ArrayList<>(mRows.values());
    }

    /** Returns the version up to which the copy is complete. */
    long position() {
        return mPosition;
    }

    /** Returns the version of the last change in the copy. */
    long changed() {
        return mChanged;
    }
}
