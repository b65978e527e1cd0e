package org.redwingladder.routing;

import static java.util.Objects.requireNonNull;

/**
 * Describes a backend server of a site.
 *
 * @param name the backend server's name in the settings
 * @param slots how many requests it works on at a time
 * @param connections how many connections it accepts
 * @param draining whether the settings or the platform's list mark it as leaving
 */
public record BackendSpec(String name, int slots, int connections, boolean draining) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if there is no slot or no connection
     */
    public BackendSpec {
        requireNonNull(name, "name");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "backend server " + name + " needs a slot and a connection");
        }
    }
}
