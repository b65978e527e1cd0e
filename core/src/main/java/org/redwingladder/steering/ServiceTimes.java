package org.redwingladder.steering;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long the work of each service usually takes, and how much longer where the object of
 * the request is not known to the backend server.
 *
 * <p>Both are tracked as medians, since a few stragglers take many times longer. Not thread-safe.
 */
public final class ServiceTimes {
    /** The relative step towards an observed time; the tracked value settles at the median. */
    private static final double STEP = 0.03;

    /** Expected before the first answer, as a part of the objective. */
    private static final double FIRST_GUESS = 0.4;

    /** The work for an unknown object before any was seen, as a multiple of the usual work. */
    private static final double FIRST_COLD_FACTOR = 3;

    private static final double MAX_COLD_FACTOR = 8;

    /**
     * The share of a new time in the mean, and the multiple of the median that it counts at most.
     */
    private static final double MEAN_GAIN = 0.02;

    private static final double MAX_IN_MEAN = 6;

    /** The mean before the first answer, as a multiple of the median. */
    private static final double FIRST_MEAN = 1.5;

    private final Map<String, Double> mMeans = new HashMap<>();
    private final Map<String, Double> mMillis = new HashMap<>();
    private final Map<String, Double> mColdFactors = new HashMap<>();

    /**
     * Returns the usual time of a request in a slot.
     *
     * @param objectiveMillis the objective of the request's route, used before the first answer
     */
    public double millis(String service, long objectiveMillis) {
        Double known = mMillis.get(service);
        return known == null ? Math.max(1, FIRST_GUESS * objectiveMillis) : known;
    }

    /** Returns the mean time of a request in a slot, which stragglers and cold work raise. */
    public double meanMillis(String service, long objectiveMillis) {
        Double known = mMeans.get(service);
        return known == null ? FIRST_MEAN * millis(service, objectiveMillis) : known;
    }

    private void mean(String service, double millis, long objectiveMillis) {
        double mean = meanMillis(service, objectiveMillis);
        double seen = Math.min(millis, MAX_IN_MEAN * millis(service, objectiveMillis));
        mMeans.put(service, mean + MEAN_GAIN * (seen - mean));
    }

    /** Returns how many times longer the work takes for an unknown object, at least 1. */
    public double coldFactor(String service) {
        return mColdFactors.getOrDefault(service, FIRST_COLD_FACTOR);
    }

    /** Takes over the time of an answer whose object the server knew. */
    public void warm(String service, double millis, long objectiveMillis) {
        mean(service, millis, objectiveMillis);
        mMillis.put(service, towards(millis(service, objectiveMillis), millis));
    }

    /** Takes over the time of an answer whose object the server is not expected to know. */
    public void cold(String service, double millis, long objectiveMillis) {
        mean(service, millis, objectiveMillis);
        double factor = millis / millis(service, objectiveMillis);
        mColdFactors.put(
                service, Math.clamp(towards(coldFactor(service), factor), 1, MAX_COLD_FACTOR));
    }

    private static double towards(double known, double seen) {
        return seen > known ? known * (1 + STEP) : known / (1 + STEP);
    }
}
