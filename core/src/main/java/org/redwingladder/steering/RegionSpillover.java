package org.redwingladder.steering;

import java.util.Map;
import java.util.TreeMap;

/**
 * Computes the share of one region's requests that each region serves.
 *
 * <p>If the demand of a region exceeds the capacity of its backend servers at the target
 * utilization, the excess spills over to regions with spare capacity, in proportion to that
 * capacity. The shares shift gradually, so that no region receives a sudden surge and caches can
 * warm up.
 */
public final class RegionSpillover {
    /** The utilization up to which a region always serves all of its own requests. */
    static final double LOCAL_UTILIZATION = 0.55;

    private RegionSpillover() {}

    /**
     * Returns the share of {@code home}'s requests that each region should serve; empty if no
     * region has capacity.
     *
     * @param demand the requests per second from the clients of each region
     * @param slots the server slots of each region
     * @param serviceSeconds the mean time for which a request occupies a slot
     */
    public static Map<String, Double> targetShares(
            String home,
            Map<String, Double> demand,
            Map<String, Double> slots,
            double serviceSeconds) {
        Map<String, Double> capacity = new TreeMap<>();
        // Queueing starts at a lower utilization with few slots; square-root staffing reserves
        // this.
        slots.forEach(
                (region, count) -> capacity.put(region, Math.max(0, count - Math.sqrt(count))));
        double allDemand = sum(demand);
        double allCapacity = sum(capacity);
        Map<String, Double> shares = new TreeMap<>();
        if (allCapacity <= 0) {
            return shares;
        }
        double utilization = allDemand * serviceSeconds / allCapacity;
        double targetUtilization = Math.max(LOCAL_UTILIZATION, utilization);
        double ownDemand = demand.getOrDefault(home, 0.0);
        double ownCapacity = targetUtilization * capacity.getOrDefault(home, 0.0) / serviceSeconds;
        if (ownDemand <= ownCapacity) {
            shares.put(home, 1.0);
            return shares;
        }
        shares.put(home, ownCapacity / ownDemand);
        Map<String, Double> spare = new TreeMap<>();
        for (Map.Entry<String, Double> region : capacity.entrySet()) {
            double spareCapacity =
                    targetUtilization * region.getValue() / serviceSeconds
                            - demand.getOrDefault(region.getKey(), 0.0);
            if (!region.getKey().equals(home) && spareCapacity > 0) {
                spare.put(region.getKey(), spareCapacity);
            }
        }
        double allSpare = sum(spare);
        if (allSpare <= 0) {
            shares.put(home, 1.0);
            return shares;
        }
        double spilledShare = 1 - ownCapacity / ownDemand;
        spare.forEach(
                (region, spareCapacity) ->
                        shares.put(region, spilledShare * spareCapacity / allSpare));
        return shares;
    }

    /**
     * Returns the shares before any demand is known. Assumes the same demand from all zones, and a
     * total demand at which the slots have a utilization of {@link #LOCAL_UTILIZATION}.
     *
     * @param zones the number of zones of each region
     */
    public static Map<String, Double> initialShares(
            String home, Map<String, Double> zones, Map<String, Double> slots) {
        double serviceSeconds = LOCAL_UTILIZATION * sum(slots) / Math.max(1, sum(zones));
        return targetShares(home, zones, slots, Math.max(Double.MIN_NORMAL, serviceSeconds));
    }

    /**
     * Returns shares that are shifted from {@code from} towards {@code to}.
     *
     * @param maxShift the largest total share that may move to another region
     */
    public static Map<String, Double> shift(
            Map<String, Double> from, Map<String, Double> to, double maxShift) {
        double moved = 0;
        for (Map.Entry<String, Double> share : to.entrySet()) {
            moved += Math.max(0, share.getValue() - from.getOrDefault(share.getKey(), 0.0));
        }
        double fraction = moved <= maxShift ? 1 : maxShift / moved;
        Map<String, Double> next = new TreeMap<>();
        from.forEach((region, share) -> next.merge(region, share * (1 - fraction), Double::sum));
        to.forEach((region, share) -> next.merge(region, share * fraction, Double::sum));
        next.values().removeIf(share -> share < 1e-6);
        return next;
    }

    private static double sum(Map<String, Double> values) {
        double sum = 0;
        for (double value : values.values()) {
            sum += value;
        }
        return sum;
    }
}
