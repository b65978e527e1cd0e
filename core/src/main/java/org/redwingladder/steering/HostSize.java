package org.redwingladder.steering;

/**
 * Tells what a host may use.
 *
 * @param cores the processor time that it gets, in cores
 * @param megabitsPerSecond the rate of its link
 */
public record HostSize(double cores, double megabitsPerSecond) {
    /** Requests a second that take a third of a core: 2.3 ms each, measured with cold code. */
    private static final double REQUESTS_PER_CORE = 143;

    /** Requests a second that fill a third of each megabit with answers of 12 KB. */
    private static final double REQUESTS_PER_MEGABIT = 3.4;

    /**
     * Returns the requests a second that leave the host room for bursts and for the part of hosts
     * that fail.
     */
    public double capacity() {
        return Math.min(cores * REQUESTS_PER_CORE, megabitsPerSecond * REQUESTS_PER_MEGABIT);
    }
}
