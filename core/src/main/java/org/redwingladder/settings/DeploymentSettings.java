package org.redwingladder.settings;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Holds the part of the settings that belongs to the deployment's own team.
 *
 * @param blockCount the number of client blocks
 * @param lookupLifetimeMillis how long a look-up answer may be used
 * @param regions the regions, by name
 * @param distances the distances, by name
 * @param links the links between regions, by name
 * @param blocks the ranges of client blocks, by name
 * @param teams the teams' keys, by team
 */
public record DeploymentSettings(
        int blockCount,
        long lookupLifetimeMillis,
        SortedMap<String, Region> regions,
        SortedMap<String, Distance> distances,
        SortedMap<String, Link> links,
        SortedMap<String, BlockRange> blocks,
        SortedMap<String, TeamKeyHash> teams) {

    /** Names the team that owns this part. */
    public static final String TEAM = "deployment";

    /** Copies the collections; an absent one is empty. */
    public DeploymentSettings {
        regions = sorted(regions);
        distances = sorted(distances);
        links = sorted(links);
        blocks = sorted(blocks);
        teams = sorted(teams);
    }

    /** Returns an unmodifiable copy; an absent collection of a document is empty. */
    static <V> SortedMap<String, V> sorted(@Nullable Map<String, V> map) {
        return Collections.unmodifiableSortedMap(
                map == null ? new TreeMap<>() : new TreeMap<>(map));
    }
}
