package org.redwingladder.settings;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The settings subtree of the deployment team.
 *
 * @param blockCount the number of client blocks
 * @param lookupLifetimeMillis the time-to-live of a look-up answer
 * @param regions the regions, by name
 * @param distances the distances, by name
 * @param links the links between regions, by name
 * @param blocks the ranges of client blocks, by name
 * @param teams the hashes of the teams' keys, by team
 */
public record DeploymentSettings(
        int blockCount,
        long lookupLifetimeMillis,
        SortedMap<String, Region> regions,
        SortedMap<String, Distance> distances,
        SortedMap<String, Link> links,
        SortedMap<String, BlockRange> blocks,
        SortedMap<String, TeamKeyHash> teams) {

    /** The team that owns this subtree. */
    public static final String TEAM = "deployment";

    /** Copies the collections; null becomes an empty collection. */
    public DeploymentSettings {
        regions = sorted(regions);
        distances = sorted(distances);
        links = sorted(links);
        blocks = sorted(blocks);
        teams = sorted(teams);
    }

    /** Returns an unmodifiable copy, empty if {@code map} is null (absent from the document). */
    static <V> SortedMap<String, V> sorted(@Nullable Map<String, V> map) {
        return Collections.unmodifiableSortedMap(
                map == null ? new TreeMap<>() : new TreeMap<>(map));
    }
}
