package org.redwingladder.settings;

import org.jspecify.annotations.Nullable;

/**
 * A limit on the rate and concurrency of a service's requests between two scopes.
 *
 * @param service the service
 * @param from the zone, region or {@code any} that the requests come from
 * @param to the zone, region or {@code any} that receives them
 * @param requestsPerSecond the maximum rate, or null if the rate is not limited
 * @param inFlight the maximum number of requests in flight, or null if it is not limited
 */
public record Cap(
        String service,
        String from,
        String to,
        @Nullable Long requestsPerSecond,
        @Nullable Integer inFlight) {

    /** The scope of all zones, in {@code from} and {@code to}. */
    public static final String ANY = "any";
}
