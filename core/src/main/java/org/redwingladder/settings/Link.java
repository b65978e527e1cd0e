package org.redwingladder.settings;

/**
 * States what may be sent from one region to another.
 *
 * @param from the sending region
 * @param to the receiving region
 * @param bitsPerSecond the rate in this direction
 */
public record Link(String from, String to, long bitsPerSecond) {}
