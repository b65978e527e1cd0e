package org.redwingladder.bench;

/**
 * Holds what one role costs at one size.
 *
 * @param role what was measured
 * @param size the size and its unit
 * @param messageBytes the bytes of one request with its answer, 0 if the role sends none
 * @param cpuMicros the processor time of one event in microseconds
 * @param stateBytes the memory that the state holds, 0 if it was not measured
 */
record CapacityLine(
        String role, String size, long messageBytes, double cpuMicros, long stateBytes) {}
