package org.redwingladder.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.redwingladder.settings.SettingsChange;
import org.redwingladder.settings.SettingsTree;
import org.redwingladder.settings.ZoneAcks;

/**
 * Peer message that replicates settings from one entry host to another.
 *
 * @param host the sender
 * @param incarnation the sender's incarnation
 * @param version the sender's settings version
 * @param served the version that is active on the sender; 0 before the first
 * @param changes the changes that the receiver lacks, in order, if the sender retains them
 * @param snapshot the whole document, if the sender does not retain the changes
 * @param acks the acknowledgements that the sender knows
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record SettingsMessage(
        String host,
        long incarnation,
        long version,
        long served,
        @Nullable List<SettingsChange> changes,
        @Nullable Snapshot snapshot,
        @Nullable ZoneAcks acks) {

    /**
     * The document of one version.
     *
     * @param version the version
     * @param subtrees the subtrees by team
     * @param subtreeVersions the versions of the subtrees by team
     */
    public record Snapshot(
            long version, Map<String, JsonNode> subtrees, Map<String, Long> subtreeVersions) {

        /** Rejects null components, as left by missing JSON fields. */
        public Snapshot {
            requireNonNull(subtrees, "subtrees");
            requireNonNull(subtreeVersions, "subtreeVersions");
        }

        static Snapshot of(SettingsTree tree) {
            Map<String, JsonNode> subtrees = new TreeMap<>();
            for (String team : tree.subtreeVersions().keySet()) {
                JsonNode subtree = tree.subtree(team);
                if (subtree != null) {
                    subtrees.put(team, subtree);
                }
            }
            return new Snapshot(tree.version(), subtrees, tree.subtreeVersions());
        }

        SettingsTree tree() {
            return SettingsTree.of(version, subtrees, subtreeVersions);
        }
    }
}
