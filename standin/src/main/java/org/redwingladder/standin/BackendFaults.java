package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Describes what goes wrong at a backend server. A count tells how many of the next requests are
 * affected; -1 stands for all.
 *
 * @param slowFactor by what the service time is multiplied; 0 and 1 for no change
 * @param slowUntil when {@code slowFactor} ends, in epoch milliseconds; 0 for no end
 * @param truncateBody count of answers that announce the whole body, send half of it and close
 * @param wrongLength count of answers whose announced length differs from the body
 * @param wrongLengthBy what is added to the announced length, in bytes; default -7. If it is
 *     negative, the rest of the body follows the answer on the connection; if positive, the
 *     connection stays open without the missing bytes
 * @param duplicateAnswer count of answers that are sent twice on the connection
 * @param crossAnswer count of answers that carry the id and body of the answer before
 * @param lateAnswer count of answers that are held until 300 ms after their deadline
 * @param wrongLoad the number of requests in flight that load reports state; null for the truth
 * @param loadLagMillis how old the load report is, in milliseconds
 * @param shed count of requests that are refused without running
 * @param draining the state is {@code draining}; what arrives still runs
 * @param down the port is closed and connections to it are refused; running work is cancelled
 */
public record BackendFaults(
        double slowFactor,
        long slowUntil,
        int truncateBody,
        int wrongLength,
        int wrongLengthBy,
        int duplicateAnswer,
        int crossAnswer,
        int lateAnswer,
        @Nullable Integer wrongLoad,
        long loadLagMillis,
        int shed,
        boolean draining,
        boolean down) {
    /** Stands for a backend server without faults. */
    public static final BackendFaults NONE =
            new BackendFaults(1, 0, 0, 0, 0, 0, 0, 0, null, 0, 0, false, false);

    /** Fills in the defaults. */
    public BackendFaults {
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        wrongLengthBy = wrongLengthBy == 0 ? -7 : wrongLengthBy;
    }

    /**
     * Returns the faults that a JSON object describes; members that are absent mean no fault.
     *
     * @throws IOException if a member is unknown or has a wrong type
     */
    public static BackendFaults parse(String json) throws IOException {
        return parse(Json.MAPPER.readTree(json));
    }

    static BackendFaults parse(JsonNode node) throws IOException {
        return Json.MAPPER.treeToValue(
                Json.normalizeCounts(
                        node,
                        "truncateBody",
                        "wrongLength",
                        "duplicateAnswer",
                        "crossAnswer",
                        "lateAnswer",
                        "shed"),
                BackendFaults.class);
    }
}
