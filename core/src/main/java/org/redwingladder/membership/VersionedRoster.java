package org.redwingladder.membership;

/**
 * A roster with the version of its row in the platform's table, for compare-and-set writes.
 *
 * @param version the version of the row
 * @param roster the value of the row
 */
public record VersionedRoster(long version, Roster roster) {}
