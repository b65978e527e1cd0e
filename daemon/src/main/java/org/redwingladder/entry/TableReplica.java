package org.redwingladder.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A local replica of one table of the store. Its position never decreases: snapshots that are older
 * than the replica are ignored. Not thread-safe.
 */
final class TableReplica {
    private final Map<String, StoreRow> mRows = new HashMap<>();
    private long mPosition;
    private long mLastChange;

    /**
     * Replaces all rows by a snapshot.
     *
     * @param position the version up to which the snapshot is complete
     * @param lastChange the version of the last change that the snapshot is known to contain
     * @return false if the snapshot is older than the replica, which then stays unchanged
     */
    boolean replace(List<StoreRow> rows, long position, long lastChange) {
        if (position < mPosition) {
            return false;
        }
        mRows.clear();
        for (StoreRow row : rows) {
            mRows.put(row.key(), row);
        }
        mPosition = position;
        mLastChange = Math.max(mLastChange, lastChange);
        return true;
    }

    /**
     * Returns the changes from the replica to a snapshot of the whole table.
     *
     * @param position the snapshot's position, which is used as the version of deletions
     */
    List<StoreRow> diff(List<StoreRow> snapshot, long position) {
        List<StoreRow> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (StoreRow row : snapshot) {
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

    /** Applies changes and skips those that the replica already contains. */
    void apply(List<StoreRow> changes, long position) {
        for (StoreRow row : changes) {
            mLastChange = Math.max(mLastChange, row.version());
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

    /** Returns the version up to which the replica is complete. */
    long position() {
        return mPosition;
    }

    /** Returns the version of the last change that the replica contains. */
    long lastChange() {
        return mLastChange;
    }
}
