package org.redwingladder.steering;

/**
 * The resources of a host, from which its request capacity is derived.
 *
 * @param cores the processor time available to the host, in cores
 * @param megabitsPerSecond the bandwidth of the host's link
 * @param descriptors the most files and sockets that the host may open
 */
public record HostResources(double cores, double megabitsPerSecond, int descriptors) {
    /** The usual limit of a process for which no other one is set. */
    public static final int DEFAULT_DESCRIPTORS = 1024;

    /**
     * Request rate that uses a third of a core, at 2.3 ms per request with code not yet compiled.
     */
    private static final double REQUESTS_PER_SECOND_PER_CORE = 143;

    /** Request rate that uses a third of a megabit per second, with answers of 12 KB. */
    private static final double REQUESTS_PER_SECOND_PER_MEGABIT = 3.4;

    /** Creates the resources of a host with the usual number of descriptors. */
    public HostResources(double cores, double megabitsPerSecond) {
        this(cores, megabitsPerSecond, DEFAULT_DESCRIPTORS);
    }

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
