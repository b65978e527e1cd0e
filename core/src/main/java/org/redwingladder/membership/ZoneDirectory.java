package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The latest known summary of each availability zone, merged by anti-entropy. Thread-safe. */
public final class ZoneDirectory {
    private volatile Map<String, ZoneSummary> mSummaries = Map.of();

    private ZoneDirectory() {}

    /** Returns an empty directory. */
    public static ZoneDirectory create() {
        return new ZoneDirectory();
    }

    /** Returns the summary of {@code zone}, or null if none is known. */
    public @Nullable ZoneSummary zone(String zone) {
        return mSummaries.get(zone);
    }

    /** Returns all summaries ordered by zone name. */
    public List<ZoneSummary> zones() {
        return List.copyOf(mSummaries.values());
    }

    /**
     * Returns the last known owner of a service's site in {@code zone}, or null if none is known.
     */
    public @Nullable Member ownerOf(String zone, String service) {
        ZoneSummary summary = mSummaries.get(zone);
        return summary == null ? null : Ownership.ownerOf(summary.members(), service);
    }

    /** Returns the digests of all summaries by zone, for comparison by another directory. */
    public Map<String, ZoneDigest> digests() {
        Map<String, ZoneDigest> digests = new TreeMap<>();
        mSummaries.forEach((zone, summary) -> digests.put(zone, summary.digest()));
        return digests;
    }

    /** Returns the summaries that a directory with {@code digests} lacks. */
    public List<ZoneSummary> summariesNewerThan(Map<String, ZoneDigest> digests) {
        List<ZoneSummary> newer = new ArrayList<>();
        for (ZoneSummary summary : mSummaries.values()) {
            ZoneDigest known = digests.getOrDefault(summary.zone(), ZoneDigest.NONE);
            if (summary.digest().compareTo(known) > 0) {
                newer.add(summary);
            }
        }
        return newer;
    }

    /**
     * Replaces the known summaries that are older than the given ones.
     *
     * @return whether any summary was added or replaced
     */
    public synchronized boolean merge(Collection<ZoneSummary> summaries) {
        Map<String, ZoneSummary> merged = new TreeMap<>(mSummaries);
        boolean changed = false;
        for (ZoneSummary summary : summaries) {
            ZoneSummary known = merged.get(summary.zone());
            if (known == null || summary.digest().compareTo(known.digest()) > 0) {
                merged.put(summary.zone(), summary);
                changed = true;
            }
        }
        if (changed) {
            mSummaries = java.util.Collections.unmodifiableMap(merged);
        }
        return changed;
    }

    /** Removes the summaries of zones that are not in {@code zones}, the zones of the settings. */
    public synchronized void retain(Collection<String> zones) {
        Map<String, ZoneSummary> retained = new TreeMap<>(mSummaries);
        retained.keySet().retainAll(zones);
        mSummaries = java.util.Collections.unmodifiableMap(retained);
    }
}
