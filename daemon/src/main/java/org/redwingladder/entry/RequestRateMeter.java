package org.redwingladder.entry;

import java.util.HashMap;
import java.util.Map;

/** Measures the rate of client requests per service as an exponentially weighted moving average. */
final class RequestRateMeter {
    /** The weight of the latest interval in the average. */
    private static final double SMOOTHING_FACTOR = 0.3;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_RATE_PER_SECOND = 0.01;

    private final Map<String, Integer> mCounts = new HashMap<>();
    private final Map<String, Double> mRates = new HashMap<>();
    private long mIntervalStartNanos;

    RequestRateMeter(long nowNanos) {
        mIntervalStartNanos = nowNanos;
    }

    /** Counts a request. */
    void count(String service) {
        mCounts.merge(service, 1, Integer::sum);
    }

    /** Ends the current interval and returns the requests per second, by service. */
    Map<String, Double> updateRates(long nowNanos) {
        double seconds = Math.max(0.1, (nowNanos - mIntervalStartNanos) / NANOS_PER_SECOND);
        mIntervalStartNanos = nowNanos;
        mCounts.forEach((service, count) -> mRates.putIfAbsent(service, count / seconds));
        mRates.replaceAll(
                (service, rate) -> {
                    double latest = mCounts.getOrDefault(service, 0) / seconds;
                    return rate + SMOOTHING_FACTOR * (latest - rate);
                });
        mRates.values().removeIf(rate -> rate < MIN_RATE_PER_SECOND);
        mCounts.clear();
        return Map.copyOf(mRates);
    }
}
