package org.redwingladder.once;

/**
 * Names one run of work that must not repeat.
 *
 * @param host the entry host that issued the token and alone honours it
 * @param incarnation the host's incarnation
 * @param number the token's number in this incarnation
 * @param service the service that it is for
 * @param expiresAt when it expires, in epoch milliseconds
 */
public record SingleUseToken(String host, long incarnation, long number, String service, long expiresAt) {}
