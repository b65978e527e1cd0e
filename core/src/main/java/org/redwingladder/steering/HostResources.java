package org.redwingladder.steering;

/**
 * The resources of a host, from which its request capacity is derived.
 *
 * @param cores the processor time available to the host, in cores
 * @param megabitsPerSecond the bandwidth of the host's link
 */
public record HostResources(double cores, double megabitsPerSecond) {
    /**
     * Request rate that uses a third of a core, at 2.3 ms per request with code not yet compiled.
     */
    private static final double REQUESTS_PER_SECOND_PER_CORE = 143;

    /** Request rate that uses a third of a megabit per second, with answers of 12 KB. */
    private static final double REQUESTS_PER_SECOND_PER_MEGABIT = 3.4;

    /**
     * Returns the largest request rate for the host, in requests per second. The rate leaves
     * headroom for bursts and for the traffic of hosts that fail.
     */
    public double capacity() {
        return Math.min(
                cores * REQUESTS_PER_SECOND_PER_CORE,
                megabitsPerSecond * REQUESTS_PER_SECOND_PER_MEGABIT);
    }
}
