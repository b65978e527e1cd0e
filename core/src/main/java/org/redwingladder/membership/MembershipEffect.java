package org.redwingladder.membership;

/**
 * Describes what a {@link MembershipStateMachine} asks its driver to do. The driver carries out effects in
 * the order in which they are returned: a {@link StopSite} is complete (no request of the site can
 * be sent any more) before a later answer, heartbeat or release leaves the process.
 */
public sealed interface MembershipEffect {

    /**
     * Sends a heartbeat.
     *
     * @param to the listed process that is expected at {@code to.peerAddress()}
     * @param heartbeat the message, without the time of sending
     * @param sentAt when it was sent, on the monotonic clock of the machine
     */
    record SendHeartbeat(Member to, Heartbeat heartbeat, long sentAt) implements MembershipEffect {}

    /**
     * Answers the heartbeat of the input.
     *
     * @param answer the answer
     */
    record AnswerHeartbeat(HeartbeatAnswer answer) implements MembershipEffect {}

    /**
     * Sends a release; repeated until it is answered. The driver fills in the requests in flight.
     *
     * @param to the new owner
     * @param release the message
     */
    record SendRelease(Member to, SiteRelease release) implements MembershipEffect {}

    /**
     * Answers the release of the input.
     *
     * @param accepted whether the sender need not repeat it
     */
    record AnswerRelease(boolean accepted) implements MembershipEffect {}

    /** Reads the roster row from the platform. */
    record ReadRow() implements MembershipEffect {}

    /**
     * Writes the roster row if it still has the expected version.
     *
     * @param version the expected version, 0 if there is no row
     * @param roster the new value
     */
    record WriteRow(long version, Roster roster) implements MembershipEffect {}

    /**
     * Starts a site, or corrects what was said of the old owner's work when it was started.
     * Requests are sent only while the machine is confirmed.
     *
     * @param service the service
     * @param epoch the epoch in which the site is owned
     * @param start what the old owner may still have running
     */
    record StartSite(String service, long epoch, OwnershipTransfer start) implements MembershipEffect {}

    /**
     * Stops a site; no request of it is sent afterwards.
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
     * Reports that this process must stop: another process of its host took its place, or one with
     * the same incarnation was a member before this one started.
     *
     * @param by the listed process
     */
    record Superseded(MemberId by) implements MembershipEffect {}

    /** Reports that this process is no longer a member, as it asked. */
    record Deregistered() implements MembershipEffect {}
}
