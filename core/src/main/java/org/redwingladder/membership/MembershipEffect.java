package org.redwingladder.membership;

/**
 * An action that a {@link MembershipStateMachine} requests of its driver. The driver executes
 * effects in the order in which they are returned: a {@link StopSite} is complete (no request of
 * the site can be sent any more) before a later answer, heartbeat or release leaves the process.
 */
public sealed interface MembershipEffect {

    /**
     * Sends a heartbeat.
     *
     * @param to the member that is expected at {@code to.peerAddress()}
     * @param heartbeat the message; the driver sets its time of sending
     * @param sentAt when it was sent, on the monotonic clock of the machine
     */
    record SendHeartbeat(Member to, Heartbeat heartbeat, long sentAt) implements MembershipEffect {}

    /**
     * Answers the heartbeat of the handled event.
     *
     * @param answer the answer
     */
    record AnswerHeartbeat(HeartbeatAnswer answer) implements MembershipEffect {}

    /**
     * Sends a release; repeated until it is accepted. The driver sets the numbers of requests in
     * flight.
     *
     * @param to the new owner
     * @param release the message
     */
    record SendRelease(Member to, SiteRelease release) implements MembershipEffect {}

    /**
     * Answers the release of the handled event.
     *
     * @param accepted whether the sender can stop retrying
     */
    record AnswerRelease(boolean accepted) implements MembershipEffect {}

    /** Reads the roster row from the platform. */
    record ReadRow() implements MembershipEffect {}

    /**
     * Writes the roster row by compare-and-set on its version.
     *
     * @param version the expected version, 0 if there is no row
     * @param roster the new value
     */
    record WriteRow(long version, Roster roster) implements MembershipEffect {}

    /**
     * Starts a site, or corrects the transfer with which an active site was started. Requests may
     * be sent only while the process holds its lease.
     *
     * @param service the service
     * @param epoch the epoch in which this process owns the site
     * @param start how the site was transferred, which bounds the work that earlier owners may
     *     still have in flight
     */
    record StartSite(String service, long epoch, SiteTransfer start) implements MembershipEffect {}

    /**
     * Stops a site; none of its requests may be sent afterwards.
     *
     * @param service the service
     */
    record StopSite(String service) implements MembershipEffect {}

    /**
     * Reports a newly adopted roster.
     *
     * @param roster the roster
     */
    record RosterAdopted(Roster roster) implements MembershipEffect {}

    /**
     * Reports that this process must stop: a later process of its host has replaced it, or a
     * process with the same incarnation was a member before this one started.
     *
     * @param by the member that is listed for this host
     */
    record Superseded(MemberId by) implements MembershipEffect {}

    /** Reports that this process has left the roster, as it requested. */
    record Deregistered() implements MembershipEffect {}
}
