package org.redwingladder.settings;

/**
 * The hash by which a team's key is verified.
 *
 * @param keySha256 the SHA-256 of the key, in lower-case hexadecimal
 */
public record TeamKeyHash(String keySha256) {}
