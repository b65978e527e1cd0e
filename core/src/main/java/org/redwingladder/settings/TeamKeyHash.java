package org.redwingladder.settings;

/**
 * Holds what is needed to check a team's key.
 *
 * @param keySha256 the SHA-256 of the key, in lower-case hexadecimal
 */
public record TeamKeyHash(String keySha256) {}
