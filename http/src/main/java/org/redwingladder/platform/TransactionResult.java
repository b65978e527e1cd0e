package org.redwingladder.platform;

import java.util.List;
import java.util.Map;

/** States how a transaction ended. */
public sealed interface TransactionResult {

    /**
     * Reports that the transaction took effect.
     *
     * @param versions the new version of each row that was written
     */
    record Committed(Map<String, Long> versions) implements TransactionResult {
        public Committed {
            versions = Map.copyOf(versions);
        }
    }

    /**
     * Reports that a check failed, so that nothing took effect.
     *
     * @param failed the rows whose check failed, as they are now
     */
    record Conflict(List<Row> failed) implements TransactionResult {
        public Conflict {
            failed = List.copyOf(failed);
        }
    }

    /**
     * Reports that the transaction may or may not have taken effect: its answer was lost and could
     * not be read back before the deadline.
     *
     * @param message what happened last
     */
    record Unknown(String message) implements TransactionResult {}
}
