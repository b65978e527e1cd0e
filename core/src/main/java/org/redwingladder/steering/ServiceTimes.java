package org.redwingladder.steering;

import java.util.HashMap;
import java.util.Map;

/** Learns how long the work of each service takes. Not thread-safe. */
public final class ServiceTimes {
    private static final double GAIN = 0.03;

    /** A single straggler must not pass for the mean. */
    private static final double MAX_RATIO = 4;

    /** Expected before the first answer, as a part of the objective. */
    private static final double FIRST_GUESS = 0.6;

    private final Map<String, Double> mMillis = new HashMap<>();

    /**
     * Returns the expected time of a request in a slot.
     *
     * @param objectiveMillis the objective of the request's route, used before the first answer
     */
    public double millis(String service, long objectiveMillis) {
        Double known = mMillis.get(service);
        return known == null ? Math.max(1, FIRST_GUESS * objectiveMillis) : known;
    }

    /** Takes over the time of one answer, without the expected time in the queue. */
    public void observed(String service, double millis, long objectiveMillis) {
        double known = millis(service, objectiveMillis);
        double seen = Math.clamp(millis, 1, known * MAX_RATIO);
        mMillis.put(service, known + GAIN * (seen - known));
    }
}
