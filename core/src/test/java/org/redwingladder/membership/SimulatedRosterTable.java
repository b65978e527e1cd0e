package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Keeps the roster row of one zone with all its earlier values. */
final class SimulatedRosterTable {
    private final List<VersionedRoster> mHistory = new ArrayList<>();

    @Nullable VersionedRoster current() {
        return mHistory.isEmpty() ? null : mHistory.get(mHistory.size() - 1);
    }

    /** Returns the row as it was some writes ago. */
    @Nullable VersionedRoster stale(int writesAgo) {
        int index = mHistory.size() - 1 - writesAgo;
        return index < 0 ? null : mHistory.get(index);
    }

    /** Writes the row if it has the expected version; returns whether it had. */
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
