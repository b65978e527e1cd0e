package org.redwingladder.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * A roster entry: one process of an entry host.
 *
 * @param host the host's name
 * @param incarnation identifies the process; increases with each restart of the host
 * @param peerAddress the peer listener as {@code ip:port}
 * @param clientAddress the client listener as {@code ip:port}
 * @param state whether the member may own sites
 */
public record Member(
        String host, long incarnation, String peerAddress, String clientAddress, State state) {

    /** The membership state of a roster entry. */
    public enum State {
        /** The member is returned by look-ups and may own sites. */
        SERVING,
        /** The member is draining: look-ups no longer return it and it owns no site. */
        LEAVING;

        /** Returns the name used in messages. */
        @JsonValue
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Rejects null components. */
    public Member {
        requireNonNull(host, "host");
        requireNonNull(peerAddress, "peerAddress");
        requireNonNull(clientAddress, "clientAddress");
        requireNonNull(state, "state");
    }

    /** Returns the identity of the process. */
    public MemberId id() {
        return new MemberId(host, incarnation);
    }

    /** Returns whether the member may own sites. */
    public boolean serving() {
        return state == State.SERVING;
    }

    /** Returns a copy of this member with another state. */
    public Member withState(State newState) {
        return new Member(host, incarnation, peerAddress, clientAddress, newState);
    }
}
