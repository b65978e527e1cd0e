package org.redwingladder.limits;

import static java.util.Objects.requireNonNull;

/**
 * A site's share of one cap.
 *
 * @param name the cap's name in the settings
 * @param from the zone or region whose requests the cap applies to, or {@link #ANY}
 * @param requestsPerSecond the site's share of the rate, or {@link #UNLIMITED}
 * @param inFlight the site's share of the requests in flight, or {@link #UNLIMITED}
 */
public record SiteCap(String name, String from, long requestsPerSecond, int inFlight) {
    /** Value of {@code from} for a cap that applies to the requests of all zones. */
    public static final String ANY = "any";

    /** Value of a share that is not limited. */
    public static final int UNLIMITED = -1;

    /**
     * Validates the shares.
     *
     * @throws IllegalArgumentException if a share is negative and not {@link #UNLIMITED}
     */
    public SiteCap {
        requireNonNull(name, "name");
        requireNonNull(from, "from");
        if (requestsPerSecond < UNLIMITED || inFlight < UNLIMITED) {
            throw new IllegalArgumentException("negative share of cap " + name);
        }
    }
}
