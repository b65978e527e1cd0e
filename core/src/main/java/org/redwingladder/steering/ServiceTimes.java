package org.redwingladder.steering;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the service time of each service, and the factor by which a cache miss at the backend
 * server increases it.
 *
 * <p>Both are tracked as medians, because a few stragglers take many times longer. The mean
 * is estimated as well, because the load of the slots follows from it. Not thread-safe.
 */
public final class ServiceTimes {
    /** The relative step towards an observed time; equal steps converge to the median. */
    private static final double STEP = 0.03;

    /** The median before the first answer, relative to the objective. */
    private static final double FIRST_GUESS = 0.4;

    /** The cold factor before the first cache miss. */
    private static final double FIRST_COLD_FACTOR = 3;

    private static final double MAX_COLD_FACTOR = 8;

    /** The weight of a new time in the moving average. */
    private static final double MEAN_GAIN = 0.02;

    /** The multiple of the median to which times are clamped in the moving average. */
    private static final double MAX_IN_MEAN = 6;

    /** The mean before the first answer, as a multiple of the median. */
    private static final double FIRST_MEAN = 1.5;

    private final Map<String, Double> mMeans = new HashMap<>();
    private final Map<String, Double> mMillis = new HashMap<>();
    private final Map<String, Double> mColdFactors = new HashMap<>();

    /**
     * Returns the median service time in milliseconds.
     *
     * @param objectiveMillis the objective of the request's route, which determines the estimate
     *     before the first answer
     */
    public double millis(String service, long objectiveMillis) {
        Double estimate = mMillis.get(service);
        return estimate == null ? Math.max(1, FIRST_GUESS * objectiveMillis) : estimate;
    }

    /** Returns the mean service time in milliseconds, including stragglers and cache misses. */
    public double meanMillis(String service, long objectiveMillis) {
        Double estimate = mMeans.get(service);
        return estimate == null ? FIRST_MEAN * millis(service, objectiveMillis) : estimate;
    }

    private void mean(String service, double millis, long objectiveMillis) {
        double mean = meanMillis(service, objectiveMillis);
        double observed = Math.min(millis, MAX_IN_MEAN * millis(service, objectiveMillis));
        mMeans.put(service, mean + MEAN_GAIN * (observed - mean));
    }

    /** Returns the service time of a cache miss as a multiple of the median, at least 1. */
    public double coldFactor(String service) {
        return mColdFactors.getOrDefault(service, FIRST_COLD_FACTOR);
    }

    /** Records the service time of a request that was expected to be a cache hit. */
    public void warm(String service, double millis, long objectiveMillis) {
        mean(service, millis, objectiveMillis);
        mMillis.put(service, towards(millis(service, objectiveMillis), millis));
    }

    /** Records the service time of a request that was expected to be a cache miss. */
    public void cold(String service, double millis, long objectiveMillis) {
        mean(service, millis, objectiveMillis);
        double factor = millis / millis(service, objectiveMillis);
        mColdFactors.put(
                service, Math.clamp(towards(coldFactor(service), factor), 1, MAX_COLD_FACTOR));
    }

    private static double towards(double estimate, double observed) {
        return observed > estimate ? estimate * (1 + STEP) : estimate / (1 + STEP);
    }
}
