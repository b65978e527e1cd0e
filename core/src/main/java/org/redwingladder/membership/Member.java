package org.redwingladder.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Describes one process of an entry host in a zone roster.
 *
 * @param host the host's name
 * @param incarnation identifies the process; each start of a host has a higher one than the last
 * @param peerAddress the peer listener as {@code ip:port}
 * @param clientAddress the client listener as {@code ip:port}
 * @param state whether the member may own sites
 */
public record Member(
        String host, long incarnation, String peerAddress, String clientAddress, State state) {

    /** States whether a member may own sites. */
    public enum State {
        /** The member is named in look-ups and may own sites. */
        SERVING,
        /** The member finishes its work, is no longer named in look-ups and owns no site. */
        LEAVING;

        /** Returns the name used in messages. */
        @JsonValue
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Checks that nothing is missing. */
    public Member {
        requireNonNull(host, "host");
        requireNonNull(peerAddress, "peerAddress");
        requireNonNull(clientAddress, "clientAddress");
        requireNonNull(state, "state");
    }

    /** Returns the identity that acknowledgements are counted by. */
    public MemberId id() {
        return new MemberId(host, incarnation);
    }

    /** Returns whether the member may own sites. */
    public boolean serving() {
        return state == State.SERVING;
    }

    /** Returns this member in another state. */
    public Member withState(State newState) {
        return new Member(host, incarnation, peerAddress, clientAddress, newState);
    }
}
