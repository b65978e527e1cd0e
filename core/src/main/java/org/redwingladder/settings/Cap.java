package org.redwingladder.settings;

import org.jspecify.annotations.Nullable;

/**
 * Limits the requests of a service from one place to another.
 *
 * @param service the service
 * @param from the zone, region or {@code any} whose requests count
 * @param to the zone, region or {@code any} that receives them
 * @param requestsPerSecond the highest rate, or null if the rate is not capped
 * @param inFlight the most requests in flight, or null if they are not capped
 */
public record Cap(
        String service,
        String from,
        String to,
        @Nullable Long requestsPerSecond,
        @Nullable Integer inFlight) {

    /** Names every zone, in {@code from} and {@code to}. */
    public static final String ANY = "any";
}
