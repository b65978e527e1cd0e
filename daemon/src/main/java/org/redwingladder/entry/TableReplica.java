package org.redwingladder.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A local replica of one table of the store. Its position never decreases: snapshots that are older
 * than the replica, or of an earlier era, are ignored. Not thread-safe.
 */
final class TableReplica {
    private final Map<String, StoreRow> mRows = new HashMap<>();
    private StoreVersion mPosition = StoreVersion.NONE;
    private StoreVersion mLastChange = StoreVersion.NONE;

    /** How changes relate to a replica. */
    enum Relation {
        /** The replica has the changes, or is newer. */
        CONTAINED,
        /** The changes complete the replica up to their position. */
        APPLICABLE,
        /** Changes before these are missing. */
        GAP
    }

    /**
     * Replaces all rows by a snapshot.
     *
     * @param position the version up to which the snapshot is complete
     * @param lastChange the version of the last change that the snapshot is known to contain
     * @return false if the snapshot is older than the replica, which then stays unchanged
     */
    boolean replace(List<StoreRow> rows, StoreVersion position, StoreVersion lastChange) {
        if (mPosition.isNewerThan(position)) {
            return false;
        }
        mRows.clear();
        for (StoreRow row : rows) {
            mRows.put(row.key(), row);
        }
        mPosition = position;
        recordChange(lastChange);
        return true;
    }

    /**
     * Returns the changes from the replica to a snapshot of the whole table.
     *
     * @param position the snapshot's position, which is used as the version of deletions
     */
    List<StoreRow> diff(List<StoreRow> snapshot, StoreVersion position) {
        List<StoreRow> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (StoreRow row : snapshot) {
            present.add(row.key());
            if (isChanged(mRows.get(row.key()), row)) {
                changes.add(row);
            }
        }
        for (String key : mRows.keySet()) {
            if (!present.contains(key)) {
                changes.add(new StoreRow(key, position.number(), null));
            }
        }
        return changes;
    }

    /** Versions go back and are given out again with a new era, so that the values count, too. */
    private boolean isChanged(@Nullable StoreRow known, StoreRow row) {
        return known == null
                || known.version() != row.version()
                || known.version() > mPosition.number()
                || !Arrays.equals(known.value(), row.value());
    }

    /**
     * Returns how changes after one position and up to another one relate to the replica.
     *
     * @param difference whether they are the {@link #diff} of two tables, which lacks rows that
     *     were added and deleted in between
     */
    Relation relationOf(StoreVersion after, StoreVersion position, boolean difference) {
        if (!position.isNewerThan(mPosition)) {
            return Relation.CONTAINED;
        }
        boolean applicable =
                difference || after.era() != position.era()
                        ? mPosition.equals(after)
                        : mPosition.era() == after.era() && !after.isNewerThan(mPosition);
        return applicable ? Relation.APPLICABLE : Relation.GAP;
    }

    /** Applies changes and skips those that the replica already contains. */
    void apply(List<StoreRow> changes, StoreVersion position) {
        for (StoreRow row : changes) {
            StoreVersion version = new StoreVersion(position.era(), row.version());
            recordChange(version);
            if (!version.isNewerThan(mPosition)) {
                continue;
            }
            if (row.value() == null) {
                mRows.remove(row.key());
            } else {
                mRows.put(row.key(), row);
            }
        }
        if (position.isNewerThan(mPosition)) {
            mPosition = position;
        }
    }

    private void recordChange(StoreVersion version) {
        if (version.isNewerThan(mLastChange)) {
            mLastChange = version;
        }
    }

    List<StoreRow> rows() {
        return new ArrayList<>(mRows.values());
    }

    /** Returns the versions of the rows by key. */
    Map<String, Long> versions() {
        Map<String, Long> versions = new HashMap<>();
        mRows.forEach((key, row) -> versions.put(key, row.version()));
        return versions;
    }

    /** Returns the version up to which the replica is complete. */
    StoreVersion position() {
        return mPosition;
    }

    /** Returns the version of the last change that the replica contains. */
    StoreVersion lastChange() {
        return mLastChange;
    }
}
