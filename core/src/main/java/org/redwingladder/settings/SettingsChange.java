package org.redwingladder.settings;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Records one accepted change of the settings.
 *
 * @param version the settings version that the change makes
 * @param changeId the operator's name for the change
 * @param team the team that made it
 * @param path the JSON pointer of the replaced value
 * @param value the new value, or null if the value is removed
 * @param author who made it
 * @param acceptedAt when it was accepted, in epoch milliseconds
 * @param previous the value before, or null if there was none; a process that starts with a
 *     snapshot finds older versions with it
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

    /** Checks that nothing is missing and copies the value. */
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
