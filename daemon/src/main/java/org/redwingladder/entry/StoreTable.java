package org.redwingladder.entry;

/** Names the tables of the platform's store that an entry host uses. */
public enum StoreTable {
    /** What operators decided: settings and evacuations. */
    CONTROL,
    /** The registrations of backend servers. */
    SERVERS,
    /** The registrations of entry hosts, written by themselves. */
    HOSTS
}
