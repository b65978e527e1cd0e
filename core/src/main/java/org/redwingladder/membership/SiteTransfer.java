package org.redwingladder.membership;

/**
 * How a site came to its new owner, which bounds the requests of earlier owners that may still be
 * in flight.
 */
public sealed interface SiteTransfer {

    /** The zone or the service is new: no earlier owner has sent requests. */
    record Initial() implements SiteTransfer {}

    /**
     * The previous owner has stopped sending and reported its requests in flight.
     *
     * @param inFlight the number of its requests that are still in flight
     */
    record HandedOver(int inFlight) implements SiteTransfer {}

    /**
     * The previous owner made no release: any of its requests may still be in flight.
     *
     * @param stoppedBy the time from which it certainly sends no requests, in monotonic
     *     milliseconds
     */
    record FailedOver(long stoppedBy) implements SiteTransfer {}
}
