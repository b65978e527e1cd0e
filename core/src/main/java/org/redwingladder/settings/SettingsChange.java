package org.redwingladder.settings;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * An accepted change of the settings.
 *
 * @param version the settings version that the change creates
 * @param changeId the operator's identifier of the change
 * @param team the team that made it
 * @param path the JSON pointer of the replaced value
 * @param value the new value, or null to remove the value
 * @param author who made it
 * @param acceptedAt when it was accepted, in epoch milliseconds
 * @param previous the previous value, or null if there was none; a process that starts from a
 *     snapshot reverts changes with it to restore older versions
 */
public record SettingsChange(
        long version,
        String changeId,
        String team,
        String path,
        @Nullable JsonNode value,
        String author,
        long acceptedAt,
        @Nullable JsonNode previous) {

    /** Rejects null identifiers and copies the JSON values. */
    public SettingsChange {
        requireNonNull(changeId, "changeId");
        requireNonNull(team, "team");
        requireNonNull(path, "path");
        requireNonNull(author, "author");
        value = value == null || value.isNull() ? null : value.deepCopy();
        previous = previous == null || previous.isNull() ? null : previous.deepCopy();
    }

    /** Creates a change of a value that was absent before. */
    public SettingsChange(
            long version,
            String changeId,
            String team,
            String path,
            @Nullable JsonNode value,
            String author,
            long acceptedAt) {
        this(version, changeId, team, path, value, author, acceptedAt, null);
    }
}
