package org.redwingladder.bench;

import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.redwingladder.routing.WorkClass;

/**
 * Describes the requests of one run.
 *
 * @param seconds how long requests arrive
 * @param shortLoad the work of short requests as a share of all slots, by time in seconds
 * @param longLoad the same of long requests
 * @param zoneShares the share of each zone of the clients
 */
record PolicyWorkload(
        double seconds,
        DoubleUnaryOperator shortLoad,
        DoubleUnaryOperator longLoad,
        double[] zoneShares) {

    /** Mean service time of short work: lognormal, 5% take less than 6 ms, 5% more than 30 ms. */
    static final double SHORT_NANOS = 15e6;

    /** Long work runs 50 times longer. */
    static final double LONG_NANOS = 50 * SHORT_NANOS;

    /** Standard deviation of the logarithm of the service times. */
    static final double SIGMA = 0.5;

    static final long SHORT_DEADLINE_NANOS = 2_000_000_000L;
    static final long LONG_DEADLINE_NANOS = 20_000_000_000L;

    /** Entry hosts in each zone; 6 zones make 24, one more than the largest deployment has. */
    static final int HOSTS_PER_ZONE = 4;

    static PolicyWorkload steady(double seconds, double shortLoad, double longLoad) {
        double[] even = {1, 1, 1, 1, 1, 1};
        return new PolicyWorkload(seconds, t -> shortLoad, t -> longLoad, even);
    }

    PolicyWorkload withShortLoad(DoubleUnaryOperator load) {
        return new PolicyWorkload(seconds, load, longLoad, zoneShares);
    }

    /** Draws one service time. */
    static double work(WorkClass workClass, Random random) {
        double mean = workClass == WorkClass.SHORT ? SHORT_NANOS : LONG_NANOS;
        return mean * Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
    }

    int zone(Random random) {
        double total = 0;
        for (double share : zoneShares) {
            total += share;
        }
        double at = random.nextDouble() * total;
        for (int zone = 0; zone < zoneShares.length; zone++) {
            at -= zoneShares[zone];
            if (at < 0) {
                return zone;
            }
        }
        return zoneShares.length - 1;
    }
}
