package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns the work class of requests whose class is not configured.
 *
 * <p>A key, usually the first segment of the path, becomes long when its mean service time reaches
 * eight times that of the site's median request, and short again below four times (hysteresis).
 * Requests with unknown keys are short: a misclassification occupies one slot for one request. Not
 * thread-safe.
 */
final class RequestClassifier {
    private static final double LONG_FACTOR = 8;
    private static final double SHORT_FACTOR = 4;
    private static final double EWMA_WEIGHT = 0.1;

    /** Bounds the memory: clients choose the paths, and thus the keys. */
    private static final int MAX_KEYS = 256;

    private static final int REFRESH_SAMPLES = 64;

    private final Map<String, KeyStats> mKeys = new HashMap<>();
    private double mMedianNanos;
    private int mSinceRefresh;

    /** Returns the configured class of a request, or else the learned one. */
    WorkClass classify(SiteRequest request) {
        WorkClass configured = request.configuredClass();
        if (configured != null) {
            return configured;
        }
        KeyStats key = mKeys.get(request.classKey());
        return key != null && key.mLong ? WorkClass.LONG : WorkClass.SHORT;
    }

    /** Records a service time of a request whose class is not configured. */
    void recordServiceTime(SiteRequest request, long nanos) {
        if (request.configuredClass() != null) {
            return;
        }
        KeyStats key = mKeys.get(request.classKey());
        if (key == null) {
            if (mKeys.size() >= MAX_KEYS) {
                return;
            }
            key = new KeyStats(nanos);
            mKeys.put(request.classKey(), key);
        }
        key.mSamples++;
        key.mMeanNanos += Math.max(EWMA_WEIGHT, 1.0 / key.mSamples) * (nanos - key.mMeanNanos);
        if (mMedianNanos == 0 || ++mSinceRefresh >= REFRESH_SAMPLES) {
            mSinceRefresh = 0;
            mMedianNanos = medianMeanNanos();
        }
        if (key.mMeanNanos >= LONG_FACTOR * mMedianNanos) {
            key.mLong = true;
        } else if (key.mMeanNanos < SHORT_FACTOR * mMedianNanos) {
            key.mLong = false;
        }
    }

    /** Returns the mean service time of the median request's key, with keys ordered by mean. */
    private double medianMeanNanos() {
        List<KeyStats> keys = new ArrayList<>(mKeys.values());
        keys.sort(Comparator.comparingDouble(key -> key.mMeanNanos));
        double total = 0;
        for (KeyStats key : keys) {
            total += key.mSamples;
        }
        double cumulative = 0;
        for (KeyStats key : keys) {
            cumulative += key.mSamples;
            if (2 * cumulative >= total) {
                return key.mMeanNanos;
            }
        }
        return 0;
    }

    /** Service time statistics of one key. */
    private static final class KeyStats {
        private double mMeanNanos;
        private double mSamples;
        private boolean mLong;

        KeyStats(double meanNanos) {
            mMeanNanos = meanNanos;
        }
    }
}
