package org.redwingladder.settings;

/**
 * A validation error in a settings document.
 *
 * @param path the JSON pointer of the invalid value
 * @param message what is wrong
 * @param allowed the values that are allowed
 */
public record SettingsError(String path, String message, String allowed) {

    @Override
    public String toString() {
        return path + ": " + message + "; allowed: " + allowed;
    }
}
