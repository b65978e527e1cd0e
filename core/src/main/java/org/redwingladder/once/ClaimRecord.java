package org.redwingladder.once;

import org.jspecify.annotations.Nullable;

/**
 * The value of the row {@code once/SERVICE/KEY}, which records the attempt that owns an idempotency
 * key.
 *
 * @param service the service
 * @param key the client's idempotency key
 * @param host the entry host that runs the work
 * @param incarnation the host's incarnation
 * @param attempt the attempt's number in this incarnation
 * @param expiresAt when another attempt may replace the claim, in epoch milliseconds
 * @param outcome the response, or null while there is none
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

    /** Returns the row key of the idempotency key {@code key} of {@code service}. */
    public static String rowKey(String service, String key) {
        return "once/" + service + "/" + key;
    }

    /** Returns whether {@code other} is the claim of the same attempt. */
    public boolean isSameAttempt(ClaimRecord other) {
        return host.equals(other.host)
                && incarnation == other.incarnation
                && attempt == other.attempt;
    }

    /** Returns a copy of this claim with {@code response} as its outcome. */
    public ClaimRecord withOutcome(StoredResponse response) {
        return new ClaimRecord(service, key, host, incarnation, attempt, expiresAt, response);
    }
}
