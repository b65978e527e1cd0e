package org.redwingladder.entry;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The messages with which an entry host asks another whether its tables are up to date. */
final class FreshnessMessages {
    private FreshnessMessages() {}

    /**
     * Asks how up to date the receiver's tables are.
     *
     * @param positions the positions of the sender's replicas
     */
    record Question(Map<StoreTable, StoreVersion> positions) {
        Question {
            positions = Map.copyOf(positions);
        }
    }

    /**
     * How up to date a replica is.
     *
     * @param table the table
     * @param position the position of the replica
     * @param changed the version of the last change that it contains
     * @param ageMillis how long ago it was proven to contain all confirmed changes, null if never
     */
    record Statement(
            StoreTable table,
            StoreVersion position,
            StoreVersion changed,
            @Nullable Long ageMillis) {}

    /**
     * The answer to a {@link Question}.
     *
     * @param follows whether the sender follows the store
     * @param statements the state of its replicas
     * @param snapshots the tables of which it knows changes that the other host does not
     */
    record Answer(
            boolean follows,
            List<Statement> statements,
            List<PeerMessages.TableSnapshot> snapshots) {
        Answer {
            statements = List.copyOf(statements);
            snapshots = List.copyOf(snapshots);
        }
    }
}
