package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The roster row of one zone with all its earlier values, for stale reads. */
final class SimulatedRosterTable {
    private final List<VersionedRoster> mHistory = new ArrayList<>();

    @Nullable VersionedRoster current() {
        return mHistory.isEmpty() ? null : mHistory.get(mHistory.size() - 1);
    }

    /** Returns the row as of {@code writesAgo} writes before the current one. */
    @Nullable VersionedRoster stale(int writesAgo) {
        int index = mHistory.size() - 1 - writesAgo;
        return index < 0 ? null : mHistory.get(index);
    }

    /** Writes the row by compare-and-set; returns whether it had the expected version. */
    boolean write(long version, Roster roster) {
        VersionedRoster current = current();
        if (version != (current == null ? 0 : current.version())) {
            return false;
        }
        mHistory.add(new VersionedRoster(version + 1, roster));
        return true;
    }

    List<VersionedRoster> history() {
        return mHistory;
    }
}
