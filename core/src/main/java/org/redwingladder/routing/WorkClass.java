package org.redwingladder.routing;

/** The class of a request by how long it occupies a slot. */
public enum WorkClass {
    /** Work of some milliseconds: pages, size charts, calendar reads, bookings. */
    SHORT,
    /** Work that runs many times as long: proofs, videos. */
    LONG
}
