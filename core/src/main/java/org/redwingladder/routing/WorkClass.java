package org.redwingladder.routing;

/** Divides work by how long it holds a slot. */
public enum WorkClass {
    /** Work of milliseconds: pages, size charts, calendar reads, bookings. */
    SHORT,
    /** Work that runs many times longer: proofs, videos. */
    LONG
}
