package org.redwingladder.entry;

import java.util.List;
import org.redwingladder.steering.HostState;

/** The messages of the gossip and replication protocol between entry hosts. */
final class PeerMessages {
    private PeerMessages() {}

    /**
     * Membership entries and the versions of the sender's table replicas.
     *
     * @param from the sender's name
     * @param hosts the hosts that the sender considers recently alive
     * @param controlChanged the version of the last known change of the control table
     * @param serversChanged the version of the last known change of the servers table
     */
    record GossipMessage(
            String from, List<HostState> hosts, long controlChanged, long serversChanged) {}

    /**
     * A snapshot of a table.
     *
     * @param table the table
     * @param position the version up to which the snapshot is complete
     * @param changed the version of the last change
     * @param holdMillis the remaining time for which the sender keeps lapsed entries, 0 if it keeps
     *     none
     * @param rows all rows
     */
    record TableSnapshot(
            StoreTable table, long position, long changed, long holdMillis, List<StoreRow> rows) {}

    /**
     * Consecutive changes of a table, as the sender received them from the store.
     *
     * @param table the table
     * @param after the position to which the changes apply
     * @param position the position after the changes
     * @param holdMillis the remaining time for which the sender keeps lapsed entries, 0 if it keeps
     *     none
     * @param rows the changed rows
     */
    record TableChanges(
            StoreTable table, long after, long position, long holdMillis, List<StoreRow> rows) {}

    /**
     * Pushes changes to a peer.
     *
     * @param from the peer address of the sender, whose replica has all changes before these
     * @param changes the changes
     */
    record ChangePush(String from, TableChanges changes) {}

    /**
     * Requests snapshots of the tables whose replicas are newer than the sender's.
     *
     * @param controlPosition the sender's position in the control table
     * @param serversPosition the sender's position in the servers table
     */
    record SnapshotRequest(long controlPosition, long serversPosition) {}

    /** The requested snapshots. */
    record SnapshotResponse(List<TableSnapshot> tables) {}
}
