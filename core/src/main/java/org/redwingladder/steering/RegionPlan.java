package org.redwingladder.steering;

import java.util.Map;
import java.util.TreeMap;

/**
 * Computes which regions serve the requests of one region.
 *
 * <p>Answers the load of regions whose clients outnumber their backend servers: what exceeds a
 * common utilization goes to the regions that have room, in proportion to it. The parts move
 * slowly, so that no region sees a sudden wave and caches can follow.
 */
public final class RegionPlan {
    /** Utilization up to which a region serves all of its own requests. */
    static final double LOCAL_UTILIZATION = 0.55;

    private RegionPlan() {}

    /**
     * Returns the part of {@code home}'s requests that each region should serve.
     *
     * @param demand the requests a second of each region
     * @param slots the slots of each region
     * @param serviceSeconds the mean time of a request in a slot
     */
    public static Map<String, Double> target(
            String home,
            Map<String, Double> demand,
            Map<String, Double> slots,
            double serviceSeconds) {
        Map<String, Double> capacity = new TreeMap<>();
        // Few slots queue at a lower utilization than many; the square root is their usual reserve.
        slots.forEach((region, count) -> capacity.put(region, count - Math.sqrt(count)));
        double allDemand = sum(demand);
        double allCapacity = sum(capacity);
        Map<String, Double> parts = new TreeMap<>();
        if (allCapacity <= 0) {
            return parts;
        }
        double utilization = allDemand * serviceSeconds / allCapacity;
        double level = Math.max(LOCAL_UTILIZATION, utilization);
        double ownDemand = demand.getOrDefault(home, 0.0);
        double ownRoom = level * capacity.getOrDefault(home, 0.0) / serviceSeconds;
        if (ownDemand <= ownRoom) {
            parts.put(home, 1.0);
            return parts;
        }
        parts.put(home, ownRoom / ownDemand);
        Map<String, Double> spare = new TreeMap<>();
        for (Map.Entry<String, Double> region : capacity.entrySet()) {
            double room =
                    level * region.getValue() / serviceSeconds
                            - demand.getOrDefault(region.getKey(), 0.0);
            if (!region.getKey().equals(home) && room > 0) {
                spare.put(region.getKey(), room);
            }
        }
        double allSpare = sum(spare);
        if (allSpare <= 0) {
            parts.put(home, 1.0);
            return parts;
        }
        double exported = 1 - ownRoom / ownDemand;
        spare.forEach((region, room) -> parts.put(region, exported * room / allSpare));
        return parts;
    }

    /**
     * Returns the parts before any demand is known: all zones are taken to have the same, and
     * together as much as fills the slots up to the utilization from which requests move.
     *
     * @param zones the number of zones of each region
     */
    public static Map<String, Double> start(
            String home, Map<String, Double> zones, Map<String, Double> slots) {
        double serviceSeconds = LOCAL_UTILIZATION * sum(slots) / Math.max(1, sum(zones));
        return target(home, zones, slots, Math.max(Double.MIN_NORMAL, serviceSeconds));
    }

    /**
     * Returns parts that lie between {@code from} and {@code to}.
     *
     * @param step the largest part that may change its region
     */
    public static Map<String, Double> move(
            Map<String, Double> from, Map<String, Double> to, double step) {
        double moved = 0;
        for (Map.Entry<String, Double> part : to.entrySet()) {
            moved += Math.max(0, part.getValue() - from.getOrDefault(part.getKey(), 0.0));
        }
        double fraction = moved <= step ? 1 : step / moved;
        Map<String, Double> next = new TreeMap<>();
        from.forEach((region, part) -> next.merge(region, part * (1 - fraction), Double::sum));
        to.forEach((region, part) -> next.merge(region, part * fraction, Double::sum));
        next.values().removeIf(part -> part < 1e-6);
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
