package org.redwingladder.entry;

/** The tables of the platform's store that an entry host uses. */
public enum StoreTable {
    /** Operator decisions: settings and zone evacuations. */
    CONTROL,
    /** The registrations of backend servers. */
    SERVERS,
    /** The registrations of entry hosts, written by themselves. */
    HOSTS
}
