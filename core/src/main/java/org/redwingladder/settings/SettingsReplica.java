package org.redwingladder.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Brings changes and snapshots into their accepted order.
 *
 * <p>The version only rises: a change is applied when it follows the current version, an older one
 * is ignored, and a newer one reports the gap. A snapshot is taken only if it is newer. Not safe
 * for use by several threads.
 */
public final class SettingsReplica {

    /** Tells what became of a change or snapshot. */
    public sealed interface Result {
        /**
         * Tells that the version rose.
         *
         * @param tree the tree now in force
         */
        record Applied(SettingsTree tree) implements Result {}

        /** Tells that the change or snapshot is not newer than the version in force. */
        record Stale() implements Result {}

        /**
         * Tells that changes are missing.
         *
         * @param after the version in force
         * @param before the version of the change that was offered
         */
        record Gap(long after, long before) implements Result {}

        /**
         * Tells that the document would not be valid, so that the version stays.
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

    /** Returns an order at version 0 that keeps the last {@code historyLimit} versions. */
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
     * Returns the known settings by version; the last one is in force. A version whose parts of
     * caps are as in the version before it is left out, so an entry stands for all versions up to
     * the next.
     */
    public NavigableMap<Long, Settings> history() {
        return new TreeMap<>(mHistory);
    }

    /** Drops the versions that no zone serves by any more: those before {@code version}. */
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
     * Takes older versions into the history, which a snapshot lacks.
     *
     * @param changes the changes up to the one that made the oldest known version, in order
     * @return whether the history reaches further back now
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
            // A record without the value before, or one of another document: the rest is unknown.
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

    /** Applies {@code change} if it follows the version in force. */
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

    /** Takes {@code snapshot} if it is newer than the version in force. */
    public Result accept(SettingsTree snapshot) {
        if (snapshot.version() <= version()) {
            return new Result.Stale();
        }
        try {
            Settings settings = snapshot.settings();
            // The versions in between are unknown, so the kept ones no longer form one sequence.
            mHistory.clear();
            mChanges.clear();
            install(snapshot, settings);
            return new Result.Applied(snapshot);
        } catch (SettingsException e) {
            return new Result.Rejected(e.errors());
        }
    }

    /**
     * Returns the kept changes after {@code version} in order, or an empty list if the next one is
     * no longer kept.
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
