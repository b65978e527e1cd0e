package org.redwingladder.steering;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the service time of each service, and the factor by which a cache miss at the backend
 * server increases it.
 *
 * <p>Both are tracked as medians, because a few stragglers take many times longer. The mean is
 * estimated as well, because the load of the slots follows from it. Not thread-safe.
 */
public final class ServiceTimeEstimator {
    /** The relative step towards an observed time; equal steps converge to the median. */
    private static final double MEDIAN_STEP = 0.03;

    /** The median before the first answer, relative to the objective. */
    private static final double INITIAL_MEDIAN_SHARE = 0.4;

    /** The cold factor before the first cache miss. */
    private static final double INITIAL_COLD_FACTOR = 3;

    private static final double MAX_COLD_FACTOR = 8;

    /** The weight of a new time in the moving average. */
    private static final double MEAN_GAIN = 0.02;

    /** The multiple of the median to which times are clamped in the moving average. */
    private static final double MAX_MEDIANS_IN_MEAN = 6;

    /** The mean before the first answer, as a multiple of the median. */
    private static final double INITIAL_MEAN_FACTOR = 1.5;

    private final Map<String, Double> mMeanMillis = new HashMap<>();
    private final Map<String, Double> mMedianMillis = new HashMap<>();
    private final Map<String, Double> mColdFactors = new HashMap<>();

    /**
     * Returns the median service time in milliseconds.
     *
     * @param objectiveMillis the objective of the request's route, which determines the estimate
     *     before the first answer
     */
    public double medianMillis(String service, long objectiveMillis) {
        Double estimate = mMedianMillis.get(service);
        return estimate == null ? Math.max(1, INITIAL_MEDIAN_SHARE * objectiveMillis) : estimate;
    }

    /** Returns the mean service time in milliseconds, including stragglers and cache misses. */
    public double meanMillis(String service, long objectiveMillis) {
        Double estimate = mMeanMillis.get(service);
        return estimate == null
                ? INITIAL_MEAN_FACTOR * medianMillis(service, objectiveMillis)
                : estimate;
    }

    private void updateMean(String service, double millis, long objectiveMillis) {
        double mean = meanMillis(service, objectiveMillis);
        double observed =
                Math.min(millis, MAX_MEDIANS_IN_MEAN * medianMillis(service, objectiveMillis));
        mMeanMillis.put(service, mean + MEAN_GAIN * (observed - mean));
    }

    /** Returns the service time of a cache miss as a multiple of the median, at least 1. */
    public double coldFactor(String service) {
        return mColdFactors.getOrDefault(service, INITIAL_COLD_FACTOR);
    }

    /** Records the service time of a request that was expected to be a cache hit. */
    public void recordWarm(String service, double millis, long objectiveMillis) {
        updateMean(service, millis, objectiveMillis);
        mMedianMillis.put(service, stepTowards(medianMillis(service, objectiveMillis), millis));
    }

    /** Records the service time of a request that was expected to be a cache miss. */
    public void recordCold(String service, double millis, long objectiveMillis) {
        updateMean(service, millis, objectiveMillis);
        double factor = millis / medianMillis(service, objectiveMillis);
        mColdFactors.put(
                service, Math.clamp(stepTowards(coldFactor(service), factor), 1, MAX_COLD_FACTOR));
    }

    private static double stepTowards(double estimate, double observed) {
        return observed > estimate ? estimate * (1 + MEDIAN_STEP) : estimate / (1 + MEDIAN_STEP);
    }
}
