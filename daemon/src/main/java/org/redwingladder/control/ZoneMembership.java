package org.redwingladder.control;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.membership.Member;
import org.redwingladder.membership.MemberId;
import org.redwingladder.membership.Roster;

/** Shows other drivers who the members are. All methods may be called from any thread. */
public interface ZoneMembership {

    /** Returns this process. */
    Member member();

    /** Returns this process's availability zone. */
    String zone();

    /** Returns the adopted roster of this zone, if there is one. */
    @Nullable Roster roster();

    /**
     * Returns the stewards of a zone, its first two serving members; empty if the zone is unknown.
     */
    List<Member> coordinators(String zone);

    /** Returns whether this process is a steward of its zone. */
    boolean isCoordinator();

    /** Returns the zones with a known roster, in the order of their names. */
    List<String> knownZones();

    /** Adds a listener for the settings versions that other members report. */
    void addPeerVersionListener(PeerVersionListener listener);

    /** Learns by which settings version another member of the zone serves. */
    interface PeerVersionListener {
        /**
         * Reports a version; called often, and on the control loop.
         *
         * @param member the member's process
         * @param peerAddress the member's peer listener
         * @param version the settings version
         */
        void versionReported(MemberId member, String peerAddress, long version);
    }
}
