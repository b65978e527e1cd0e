package org.redwingladder.once;

import org.jspecify.annotations.Nullable;

/**
 * Is the value of the row {@code once/SERVICE/KEY}, which says who runs the work of an idempotency
 * key.
 *
 * @param service the service
 * @param key the client's key
 * @param host the entry host that runs the work
 * @param incarnation the host's incarnation
 * @param attempt the attempt's number in this incarnation
 * @param expiresAt when the claim may be forgotten, in epoch milliseconds
 * @param outcome the answer, or null while it is not known
 */
public record ClaimRecord(
        String service,
        String key,
        String host,
        long incarnation,
        long attempt,
        long expiresAt,
        @Nullable StoredResponse outcome) {

    /** Returns the key of the row. */
    public String rowKey() {
        return rowKey(service, key);
    }

    /** Returns the key of the row of {@code key} for {@code service}. */
    public static String rowKey(String service, String key) {
        return "once/" + service + "/" + key;
    }

    /** Returns whether {@code other} is the claim of the same attempt. */
    public boolean isSameAttempt(ClaimRecord other) {
        return host.equals(other.host)
                && incarnation == other.incarnation
                && attempt == other.attempt;
    }

    /** Returns this claim with its outcome. */
    public ClaimRecord withOutcome(StoredResponse known) {
        return new ClaimRecord(service, key, host, incarnation, attempt, expiresAt, known);
    }
}
