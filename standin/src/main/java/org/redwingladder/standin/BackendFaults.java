package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/**
 * Faults to inject at a backend server. A count is the number of subsequent requests that are
 * affected; -1 means all.
 *
 * @param slowFactor factor of the service time; 0 and 1 mean no change
 * @param slowUntil when {@code slowFactor} expires, in epoch milliseconds; 0 for never
 * @param truncateBody count of responses that are truncated: {@code Content-Length} states the full
 *     size, but the connection is closed after half of the body
 * @param wrongLength count of responses whose {@code Content-Length} differs from the size of the
 *     body
 * @param wrongLengthBy what is added to {@code Content-Length}, in bytes; default -7. If it is
 *     negative, the excess bytes of the body follow the response on the connection; if positive,
 *     the connection stays open and the missing bytes are never sent
 * @param duplicateAnswer count of responses that are sent twice on the connection
 * @param invalidAnswer count of responses whose status is 000, after which the connection is closed
 * @param crossAnswer count of responses that are replaced by the previous response, with its
 *     request id and body
 * @param lateAnswer count of responses that are delayed until 300 ms after the request's deadline
 * @param wrongLoad the number of requests in flight stated in load reports; null for the actual
 *     number
 * @param loadLagMillis the age of the data in load reports, in milliseconds
 * @param shed count of requests that are shed without being started
 * @param draining whether the reported state is {@code draining}; new requests are still processed
 * @param down whether the port is closed, so that connections are refused; running requests are
 *     cancelled
 */
public record BackendFaults(
        double slowFactor,
        long slowUntil,
        int truncateBody,
        int wrongLength,
        int wrongLengthBy,
        int duplicateAnswer,
        int invalidAnswer,
        int crossAnswer,
        int lateAnswer,
        @Nullable Integer wrongLoad,
        long loadLagMillis,
        int shed,
        boolean draining,
        boolean down) {
    /** No faults. */
    public static final BackendFaults NONE =
            new BackendFaults(1, 0, 0, 0, 0, 0, 0, 0, 0, null, 0, 0, false, false);

    /** Replaces absent values by their defaults. */
    public BackendFaults {
        slowFactor = slowFactor == 0 ? 1 : slowFactor;
        wrongLengthBy = wrongLengthBy == 0 ? -7 : wrongLengthBy;
    }

    /**
     * Parses faults from a JSON object; an absent member means that the fault is not injected.
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
                        "invalidAnswer",
                        "crossAnswer",
                        "lateAnswer",
                        "shed"),
                BackendFaults.class);
    }
}
