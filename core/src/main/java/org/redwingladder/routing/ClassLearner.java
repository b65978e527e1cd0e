package org.redwingladder.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the class of requests for which the settings state none.
 *
 * <p>A key, usually the first segment of the path, is long when its mean service time is eight
 * times that of the site's typical request, and short again below four times. Requests of unknown
 * keys are short: a wrong guess costs one slot for one request. Not thread-safe.
 */
final class ClassLearner {
    private static final double LONG_AT = 8;
    private static final double SHORT_AT = 4;
    private static final double WEIGHT = 0.1;

    /** Bounds the memory, since clients choose the paths. */
    private static final int MAX_KEYS = 256;

    private static final int REFRESH = 64;

    private final Map<String, Key> mKeys = new HashMap<>();
    private double mTypicalNanos;
    private int mSinceRefresh;

    /** Returns the class of a request, stated or learned. */
    WorkClass classOf(SiteRequest request) {
        WorkClass stated = request.configuredClass();
        if (stated != null) {
            return stated;
        }
        Key key = mKeys.get(request.classKey());
        return key != null && key.mLong ? WorkClass.LONG : WorkClass.SHORT;
    }

    /** Takes a service time of a request into account. */
    void learn(SiteRequest request, long nanos) {
        if (request.configuredClass() != null) {
            return;
        }
        Key key = mKeys.get(request.classKey());
        if (key == null) {
            if (mKeys.size() >= MAX_KEYS) {
                return;
            }
            key = new Key(nanos);
            mKeys.put(request.classKey(), key);
        }
        key.mSamples++;
        key.mMeanNanos += Math.max(WEIGHT, 1.0 / key.mSamples) * (nanos - key.mMeanNanos);
        if (mTypicalNanos == 0 || ++mSinceRefresh >= REFRESH) {
            mSinceRefresh = 0;
            mTypicalNanos = typical();
        }
        if (key.mMeanNanos >= LONG_AT * mTypicalNanos) {
            key.mLong = true;
        } else if (key.mMeanNanos < SHORT_AT * mTypicalNanos) {
            key.mLong = false;
        }
    }

    /** Returns the mean of the key that the median request has, keys ordered by mean. */
    private double typical() {
        List<Key> keys = new ArrayList<>(mKeys.values());
        keys.sort(Comparator.comparingDouble(key -> key.mMeanNanos));
        double total = 0;
        for (Key key : keys) {
            total += key.mSamples;
        }
        double seen = 0;
        for (Key key : keys) {
            seen += key.mSamples;
            if (2 * seen >= total) {
                return key.mMeanNanos;
            }
        }
        return 0;
    }

    /** Holds what is known of one key. */
    private static final class Key {
        private double mMeanNanos;
        private double mSamples;
        private boolean mLong;

        Key(double meanNanos) {
            mMeanNanos = meanNanos;
        }
    }
}
