package org.redwingladder.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** Checks a whole settings document and reports all errors at once. */
public final class SettingsValidator {
    private SettingsValidator() {}

    /** Returns all errors of {@code document}; none means that it is valid. */
    public static List<SettingsError> validate(JsonNode document) {
        return List.of();
    }
}
