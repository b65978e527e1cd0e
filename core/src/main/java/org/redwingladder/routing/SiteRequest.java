package org.redwingladder.routing;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * A request to a site's dispatcher.
 *
 * @param id a number that is unique at this owner
 * @param fromZone the zone of the ingress
 * @param classKey the key by which the class is learned, usually the first path segment
 * @param configuredClass the class that the settings specify, or null to learn it
 * @param deadlineNanos when the client stops waiting, on the owner's monotonic clock
 * @param idempotent whether the work may run more than once
 */
public record SiteRequest(
        long id,
        String fromZone,
        String classKey,
        @Nullable WorkClass configuredClass,
        long deadlineNanos,
        boolean idempotent) {

    public SiteRequest {
        requireNonNull(fromZone, "fromZone");
        requireNonNull(classKey, "classKey");
    }
}
