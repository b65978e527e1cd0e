package org.redwingladder.once;

/**
 * A token that authorizes one run of non-idempotent work.
 *
 * @param host the entry host that issued the token and is the only one to accept it
 * @param incarnation the host's incarnation
 * @param number the token's sequence number in this incarnation
 * @param service the service for which it is valid
 * @param expiresAt when it expires, in epoch milliseconds
 */
public record SingleUseToken(
        String host, long incarnation, long number, String service, long expiresAt) {}
