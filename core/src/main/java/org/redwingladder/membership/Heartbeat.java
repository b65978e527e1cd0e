package org.redwingladder.membership;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * Tells a voter that a process runs, which epoch it has learned and what it asks for.
 *
 * @param host the sender's host
 * @param incarnation the sender's process
 * @param zone the sender's availability zone
 * @param epoch the latest epoch that the sender has adopted; 0 if it has none
 * @param settledEpoch the settled epoch of that roster
 * @param settingsVersion the settings version that the sender serves by
 * @param sentAt when the heartbeat was sent, in epoch milliseconds
 * @param peerAddress the sender's peer listener
 * @param clientAddress the sender's client listener
 * @param wanted what the sender asks for
 * @param confirmed whether the sender holds acknowledgements from a quorum
 * @param intervalMillis how often the sender sends heartbeats
 * @param roster the sender's roster when the receiver may not have it yet
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Heartbeat(
        String host,
        long incarnation,
        String zone,
        long epoch,
        long settledEpoch,
        long settingsVersion,
        long sentAt,
        String peerAddress,
        String clientAddress,
        RequestedState wanted,
        boolean confirmed,
        long intervalMillis,
        @Nullable Roster roster) {

    /** Returns the identity of the sender. */
    @JsonIgnore
    public MemberId sender() {
        return new MemberId(host, incarnation);
    }

    /** Returns the member that the sender asks to be. */
    @JsonIgnore
    public Member asMember() {
        return new Member(host, incarnation, peerAddress, clientAddress, Member.State.SERVING);
    }

    /** Returns this heartbeat with the time at which it is sent. */
    public Heartbeat withSentAt(long epochMillis) {
        return new Heartbeat(
                host,
                incarnation,
                zone,
                epoch,
                settledEpoch,
                settingsVersion,
                epochMillis,
                peerAddress,
                clientAddress,
                wanted,
                confirmed,
                intervalMillis,
                roster);
    }
}
