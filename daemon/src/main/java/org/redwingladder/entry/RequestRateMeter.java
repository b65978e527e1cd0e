package org.redwingladder.entry;

import java.util.HashMap;
import java.util.Map;

/** Measures the requests a second that this host receives, by service. */
final class RequestRateMeter {
    /** The share of the last interval in the rate. */
    private static final double GAIN = 0.3;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_RATE = 0.01;

    private final Map<String, Integer> mCounts = new HashMap<>();
    private final Map<String, Double> mRates = new HashMap<>();
    private long mSinceNanos;

    RequestRateMeter(long nowNanos) {
        mSinceNanos = nowNanos;
    }

    void request(String service) {
        mCounts.merge(service, 1, Integer::sum);
    }

    /** Ends an interval and returns the rates. */
    Map<String, Double> rates(long nowNanos) {
        double seconds = Math.max(0.1, (nowNanos - mSinceNanos) / NANOS_PER_SECOND);
        mSinceNanos = nowNanos;
        mCounts.forEach((service, count) -> mRates.putIfAbsent(service, count / seconds));
        mRates.replaceAll(
                (service, rate) -> {
                    double seen = mCounts.getOrDefault(service, 0) / seconds;
                    return rate + GAIN * (seen - rate);
                });
        mRates.values().removeIf(rate -> rate < MIN_RATE);
        mCounts.clear();
        return Map.copyOf(mRates);
    }
}
