package org.redwingladder.routing;

import static java.util.Objects.requireNonNull;

/**
 * The settings of a backend server of a site.
 *
 * @param name the backend server's name in the settings
 * @param slots how many requests it runs concurrently
 * @param connections how many connections it accepts
 * @param draining whether the settings or the platform's list mark it as draining
 */
public record BackendSpec(String name, int slots, int connections, boolean draining) {

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if there are no slots or no connections
     */
    public BackendSpec {
        requireNonNull(name, "name");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "backend server " + name + ": slots and connections must be 1 or more");
        }
    }
}
