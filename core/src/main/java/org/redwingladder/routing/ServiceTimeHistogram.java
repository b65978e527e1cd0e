package org.redwingladder.routing;

/**
 * Estimates the mean and a quantile of recent service times.
 *
 * <p>Counts are kept in exponential buckets that grow by 5%. All are halved when the total reaches
 * a limit, so that the histogram follows a change within about a thousand samples. Not thread-safe.
 */
final class ServiceTimeHistogram {
    private static final double LOG_BUCKET_RATIO = Math.log(1.05);
    private static final long MIN_NANOS = 10_000;
    private static final int BUCKETS = 400;
    private static final double HALVING_COUNT = 2000;

    /** How many samples are recorded between two computations of the quantile. */
    private static final int REFRESH_SAMPLES = 32;

    private final double mQuantile;
    private final double[] mCounts = new double[BUCKETS];
    private double mTotal;
    private double mSum;
    private long mQuantileNanos;
    private int mSinceRefresh;

    /**
     * Creates a histogram.
     *
     * @param quantile the quantile that {@link #quantileNanos} returns
     * @param initialNanos the service time assumed before there are samples
     */
    ServiceTimeHistogram(double quantile, long initialNanos) {
        mQuantile = quantile;
        mQuantileNanos = 2 * initialNanos;
        mTotal = 1;
        mSum = initialNanos;
        mCounts[bucketOf(2 * initialNanos)] = 1;
    }

    void record(long nanos) {
        mCounts[bucketOf(nanos)]++;
        mTotal++;
        mSum += nanos;
        if (mTotal >= HALVING_COUNT) {
            for (int i = 0; i < BUCKETS; i++) {
                mCounts[i] /= 2;
            }
            mTotal /= 2;
            mSum /= 2;
        }
        if (++mSinceRefresh >= REFRESH_SAMPLES) {
            mSinceRefresh = 0;
            mQuantileNanos = computeQuantile();
        }
    }

    long meanNanos() {
        return (long) (mSum / mTotal);
    }

    long quantileNanos() {
        return mQuantileNanos;
    }

    private long computeQuantile() {
        double target = mQuantile * mTotal;
        double cumulative = 0;
        for (int i = 0; i < BUCKETS; i++) {
            cumulative += mCounts[i];
            if (cumulative >= target) {
                return (long) (MIN_NANOS * Math.exp((i + 1) * LOG_BUCKET_RATIO));
            }
        }
        return (long) (MIN_NANOS * Math.exp(BUCKETS * LOG_BUCKET_RATIO));
    }

    private static int bucketOf(long nanos) {
        if (nanos <= MIN_NANOS) {
            return 0;
        }
        int bucket = (int) (Math.log((double) nanos / MIN_NANOS) / LOG_BUCKET_RATIO);
        return Math.min(BUCKETS - 1, bucket);
    }
}
