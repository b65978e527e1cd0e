package org.redwingladder.settings;

/**
 * Assigns a range of client blocks to their home region.
 *
 * @param first the first block
 * @param last the last block, inclusive
 * @param region the region nearest to the clients
 */
public record BlockRange(int first, int last, String region) {}
