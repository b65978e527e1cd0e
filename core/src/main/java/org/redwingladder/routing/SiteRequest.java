package org.redwingladder.routing;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * Describes a request to a site's dispatcher.
 *
 * @param id a number that no other request at this owner has
 * @param fromZone the zone of the ingress
 * @param classKey what the class is learned by, usually the first segment of the path
 * @param configuredClass the class that the settings state, or null to learn it
 * @param deadlineNanos when the client stops waiting, on the owner's monotonic clock
 * @param idempotent whether the work may run twice
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
