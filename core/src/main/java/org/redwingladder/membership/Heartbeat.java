package org.redwingladder.membership;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * Reports to a voter that a process is alive, the epoch that it has adopted and the membership
 * state that it requests.
 *
 * @param host the sender's host
 * @param incarnation the sender's process
 * @param zone the sender's availability zone
 * @param epoch the latest epoch that the sender has adopted; 0 if it has none
 * @param settledEpoch the settled epoch of that roster
 * @param settingsVersion the settings version that the sender has applied
 * @param sentAt when the heartbeat was sent, in epoch milliseconds
 * @param peerAddress the sender's peer listener
 * @param clientAddress the sender's client listener
 * @param wanted the membership state that the sender requests
 * @param confirmed whether the sender holds a valid quorum lease
 * @param intervalMillis the interval at which the sender sends heartbeats
 * @param roster the sender's roster if the receiver may not have it yet
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

    /** Returns the roster entry that the sender requests for itself. */
    @JsonIgnore
    public Member asMember() {
        return new Member(host, incarnation, peerAddress, clientAddress, Member.State.SERVING);
    }

    /** Returns a copy of this heartbeat with the given time of sending. */
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
