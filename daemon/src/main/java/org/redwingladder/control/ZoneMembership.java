package org.redwingladder.control;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MemberId;
import org.redwingladder.membership.Roster;

/** Membership of this process's zone and of other zones. Thread-safe. */
public interface ZoneMembership {

    /** Returns this process. */
    Member member();

    /** Returns this process's availability zone. */
    String zone();

    /** Returns the roster of this zone that this process has adopted; null before the first. */
    @Nullable Roster roster();

    /**
     * Returns the coordinators of a zone: its first two serving members, which read the platform
     * and talk to other zones on behalf of the zone. Empty if the zone is unknown.
     */
    List<Member> coordinators(String zone);

    /** Returns whether this process is a coordinator of its zone. */
    boolean isCoordinator();

    /** Returns the zones with a known roster, sorted by name. */
    List<String> knownZones();

    /** Adds a listener for the active settings versions that other members report. */
    void addPeerVersionListener(PeerVersionListener listener);

    /** Receives the active settings versions of other members of the zone. */
    interface PeerVersionListener {
        /**
         * Called for each heartbeat and heartbeat response, also if the version is unchanged; must
         * be called on the event loop.
         *
         * @param member the member's process
         * @param peerAddress the address of the member's peer listener
         * @param version the settings version that is active on the member
         */
        void versionReported(MemberId member, String peerAddress, long version);
    }
}
