package org.redwingladder.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A replica of the settings that applies changes and snapshots in version order, whatever the order
 * of their delivery.
 *
 * <p>The version only increases: a change is applied if it directly follows the version in force,
 * an older one is ignored, and a later one is reported as a gap. A snapshot is applied only if it
 * is newer. Not thread-safe.
 */
public final class SettingsReplica {

    /** The result of offering a change or snapshot. */
    public sealed interface Result {
        /**
         * The change or snapshot was applied.
         *
         * @param tree the tree now in force
         */
        record Applied(SettingsTree tree) implements Result {}

        /** The change or snapshot is not newer than the version in force and was ignored. */
        record Stale() implements Result {}

        /**
         * Changes between the version in force and the offered one are missing.
         *
         * @param after the version in force
         * @param before the version of the offered change
         */
        record Gap(long after, long before) implements Result {}

        /**
         * The resulting document is invalid, so that the version in force is kept.
         *
         * @param errors all errors
         */
        record Rejected(List<SettingsError> errors) implements Result {}
    }

    private final int mHistoryLimit;
    private final NavigableMap<Long, Settings> mHistory = new TreeMap<>();
    private final NavigableMap<Long, SettingsChange> mChanges = new TreeMap<>();
    private SettingsTree mTree = SettingsTree.empty();
    private SettingsTree mOldestTree = SettingsTree.empty();

    private SettingsReplica(int historyLimit) {
        mHistoryLimit = historyLimit;
    }

    /** Returns a replica at version 0 that retains the last {@code historyLimit} versions. */
    public static SettingsReplica create(int historyLimit) {
        return new SettingsReplica(historyLimit);
    }

    /** Returns the tree in force. */
    public SettingsTree tree() {
        return mTree;
    }

    /** Returns the version in force; 0 means that there are no settings yet. */
    public long version() {
        return mTree.version();
    }

    /**
     * Returns the known settings by version; the last one is in force. Versions with the same
     * quotas as their predecessor are omitted, so an entry applies to all versions up to the next.
     */
    public NavigableMap<Long, Settings> history() {
        return new TreeMap<>(mHistory);
    }

    /** Evicts the versions before {@code version}, by which no zone serves any more. */
    public void trimHistoryBefore(long version) {
        Long first = mHistory.floorKey(version);
        if (first != null) {
            mHistory.headMap(first, false).clear();
        }
    }

    /** Returns the oldest known version; 0 means that there are no settings yet. */
    public long oldestVersion() {
        return mHistory.isEmpty() ? 0 : mHistory.firstKey();
    }

    /**
     * Restores versions older than a snapshot by reverting changes.
     *
     * @param changes the changes up to the one that created the oldest known version, in order
     * @return whether any version was restored
     */
    public boolean backfillHistory(List<SettingsChange> changes) {
        boolean extended = false;
        try {
            for (SettingsChange change : changes.reversed()) {
                if (change.version() == oldestVersion()
                        && mOldestTree.version() == oldestVersion()
                        && mHistory.size() < mHistoryLimit) {
                    prepend(mOldestTree.revert(change));
                    extended = true;
                }
            }
        } catch (SettingsException e) {
            // The change lacks its previous value or is of another document, so that older versions
            // stay unknown.
            return extended;
        }
        return extended;
    }

    private void prepend(SettingsTree tree) throws SettingsException {
        Settings settings = tree.settings();
        Map.Entry<Long, Settings> first = mHistory.firstEntry();
        if (first.getKey() < version() && SiteQuotas.sameQuotas(settings, first.getValue())) {
            mHistory.remove(first.getKey());
        }
        mHistory.put(tree.version(), settings);
        mOldestTree = tree;
    }

    /** Applies {@code change} if it directly follows the version in force. */
    public Result accept(SettingsChange change) {
        if (change.version() <= version()) {
            return new Result.Stale();
        }
        if (change.version() > version() + 1) {
            return new Result.Gap(version(), change.version());
        }
        try {
            SettingsTree next = mTree.apply(change);
            Settings settings = next.settings();
            install(next, settings);
            mChanges.put(change.version(), change);
            while (mChanges.size() > mHistoryLimit) {
                mChanges.pollFirstEntry();
            }
            return new Result.Applied(next);
        } catch (SettingsException e) {
            return new Result.Rejected(e.errors());
        }
    }

    /** Replaces the tree by {@code snapshot} if it is newer than the version in force. */
    public Result accept(SettingsTree snapshot) {
        if (snapshot.version() <= version()) {
            return new Result.Stale();
        }
        try {
            Settings settings = snapshot.settings();
            // The versions in between are unknown, so the retained history would have a gap.
            mHistory.clear();
            mChanges.clear();
            install(snapshot, settings);
            return new Result.Applied(snapshot);
        } catch (SettingsException e) {
            return new Result.Rejected(e.errors());
        }
    }

    /**
     * Returns the retained changes after {@code version} in order, or an empty list if the first of
     * them is not retained.
     */
    public List<SettingsChange> changesAfter(long version) {
        if (!mChanges.containsKey(version + 1)) {
            return List.of();
        }
        return new ArrayList<>(mChanges.tailMap(version, false).values());
    }

    private void install(SettingsTree tree, Settings settings) {
        mTree = tree;
        Map.Entry<Long, Settings> last = mHistory.lastEntry();
        Map.Entry<Long, Settings> before = last == null ? null : mHistory.lowerEntry(last.getKey());
        if (last != null
                && before != null
                && SiteQuotas.sameQuotas(before.getValue(), last.getValue())) {
            mHistory.remove(last.getKey());
        }
        mHistory.put(tree.version(), settings);
        if (mHistory.size() == 1) {
            mOldestTree = tree;
        }
        while (mHistory.size() > mHistoryLimit) {
            mHistory.pollFirstEntry();
        }
    }
}
