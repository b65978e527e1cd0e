package org.redwingladder.entry;

import java.util.List;
import org.redwingladder.steering.HostEntry;

/** Messages between entry hosts. */
final class PeerMessages {
    private PeerMessages() {}

    /**
     * Tells what a host knows of the hosts, and how far its copies of the tables are.
     *
     * @param from the sender's name
     * @param hosts the hosts that were heard of lately
     * @param controlChanged the version of the last known change of the control table
     * @param serversChanged the version of the last known change of the servers table
     */
    record GossipMessage(
            String from, List<HostEntry> hosts, long controlChanged, long serversChanged) {}

    /**
     * Holds a copy of a table.
     *
     * @param table the table
     * @param position the version up to which the copy is complete
     * @param changed the version of the last change
     * @param holdMillis for how much longer the sender keeps lapsed entries, 0 if it does not
     * @param rows all rows
     */
    record TableSnapshot(
            StoreTable table, long position, long changed, long holdMillis, List<StoreRow> rows) {}

    /**
     * Holds changes of a table, as the sender had them from the store.
     *
     * @param table the table
     * @param after the position that the changes follow
     * @param position the position with the changes
     * @param holdMillis for how much longer the sender keeps lapsed entries, 0 if it does not
     * @param rows the changed rows
     */
    record TableChanges(
            StoreTable table, long after, long position, long holdMillis, List<StoreRow> rows) {}

    /**
     * Passes changes on.
     *
     * @param from the peer address of the sender, which has all changes before these
     * @param changes the changes
     */
    record ChangePush(String from, TableChanges changes) {}

    /**
     * Asks for tables that are newer than the sender's.
     *
     * @param controlPosition the sender's position in the control table
     * @param serversPosition the sender's position in the servers table
     */
    record SnapshotRequest(long controlPosition, long serversPosition) {}

    /** Holds the tables that were asked for. */
    record SnapshotResponse(List<TableSnapshot> tables) {}
}
