package org.redwingladder.settings;

/**
 * Names a fault in a settings document.
 *
 * @param path the JSON pointer of the faulty value
 * @param message what is wrong
 * @param allowed what is allowed there
 */
public record SettingsError(String path, String message, String allowed) {

    @Override
    public String toString() {
        return path + ": " + message + "; allowed: " + allowed;
    }
}
