package org.redwingladder.membership;

/** States what work of earlier owners may still run when a site starts. */
public sealed interface OwnershipTransfer {

    /** The zone or the service is new, so that nothing runs. */
    record Initial() implements OwnershipTransfer {}

    /**
     * The old owner has stopped sending and reported its work in flight.
     *
     * @param inFlight the number of its requests that still run
     */
    record HandedOver(int inFlight) implements OwnershipTransfer {}

    /**
     * The old owner ended without a report: any of its work may still run.
     *
     * @param stoppedBy when it certainly sent nothing any more, in monotonic milliseconds
     */
    record FailedOver(long stoppedBy) implements OwnershipTransfer {}
}
