package org.redwingladder.limits;

import static java.util.Objects.requireNonNull;

/**
 * Holds a site's own part of one cap.
 *
 * @param name the cap's name in the settings
 * @param from the zone or region whose requests count, or {@link #ANY}
 * @param requestsPerSecond the part of the rate, or {@link #UNLIMITED}
 * @param inFlight the part of the requests in flight, or {@link #UNLIMITED}
 */
public record SiteCap(String name, String from, long requestsPerSecond, int inFlight) {
    /** Selects the requests of all zones. */
    public static final String ANY = "any";

    /** Marks a value that is not capped. */
    public static final int UNLIMITED = -1;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a part is negative and not {@link #UNLIMITED}
     */
    public SiteCap {
        requireNonNull(name, "name");
        requireNonNull(from, "from");
        if (requestsPerSecond < UNLIMITED || inFlight < UNLIMITED) {
            throw new IllegalArgumentException("negative part of cap " + name);
        }
    }
}
