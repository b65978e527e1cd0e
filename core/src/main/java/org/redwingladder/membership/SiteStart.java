package org.redwingladder.membership;

/** States what work of earlier owners may still run when a site starts. */
public sealed interface SiteStart {

    /** The zone or the service is new, so that nothing runs. */
    record Fresh() implements SiteStart {}

    /**
     * The old owner has stopped sending and reported its work in flight.
     *
     * @param inFlight the number of its requests that still run
     */
    record Released(int inFlight) implements SiteStart {}

    /**
     * The old owner ended without a report: any of its work may still run.
     *
     * @param stoppedBy when it certainly sent nothing any more, in monotonic milliseconds
     */
    record TakenOver(long stoppedBy) implements SiteStart {}
}
