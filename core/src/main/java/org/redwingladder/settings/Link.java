package org.redwingladder.settings;

/**
 * The bandwidth from one region to another.
 *
 * @param from the sending region
 * @param to the receiving region
 * @param bitsPerSecond the bandwidth in this direction
 */
public record Link(String from, String to, long bitsPerSecond) {}
