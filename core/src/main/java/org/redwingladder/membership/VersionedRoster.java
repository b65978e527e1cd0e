package org.redwingladder.membership;

/**
 * Holds a roster with the version of its row in the platform's table.
 *
 * @param version the version of the row
 * @param roster the value of the row
 */
public record VersionedRoster(long version, Roster roster) {}
