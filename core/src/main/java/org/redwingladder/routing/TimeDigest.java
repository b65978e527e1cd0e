package org.redwingladder.routing;

/**
 * Estimates mean and quantiles of recent service times.
 *
 * <p>Counts are kept in buckets that grow by 5%, and halved when there are many, so that the digest
 * follows a change within about a thousand samples. Not thread-safe.
 */
final class TimeDigest {
    private static final double GROWTH = Math.log(1.05);
    private static final long SMALLEST_NANOS = 10_000;
    private static final int BUCKETS = 400;
    private static final double HALVE_AT = 2000;

    /** How many samples may pass before a cached quantile is computed again. */
    private static final int REFRESH = 32;

    private final double mQuantile;
    private final double[] mCounts = new double[BUCKETS];
    private double mTotal;
    private double mSum;
    private long mCachedNanos;
    private int mSinceRefresh;

    /**
     * Creates a digest.
     *
     * @param quantile the quantile that {@link #quantileNanos} returns
     * @param guessNanos the service time assumed before there are samples
     */
    TimeDigest(double quantile, long guessNanos) {
        mQuantile = quantile;
        mCachedNanos = 2 * guessNanos;
        mTotal = 1;
        mSum = guessNanos;
        mCounts[bucketOf(2 * guessNanos)] = 1;
    }

    void record(long nanos) {
        mCounts[bucketOf(nanos)]++;
        mTotal++;
        mSum += nanos;
        if (mTotal >= HALVE_AT) {
            for (int i = 0; i < BUCKETS; i++) {
                mCounts[i] /= 2;
            }
            mTotal /= 2;
            mSum /= 2;
        }
        if (++mSinceRefresh >= REFRESH) {
            mSinceRefresh = 0;
            mCachedNanos = compute();
        }
    }

    long meanNanos() {
        return (long) (mSum / mTotal);
    }

    long quantileNanos() {
        return mCachedNanos;
    }

    private long compute() {
        double wanted = mQuantile * mTotal;
        double seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += mCounts[i];
            if (seen >= wanted) {
                return (long) (SMALLEST_NANOS * Math.exp((i + 1) * GROWTH));
            }
        }
        return (long) (SMALLEST_NANOS * Math.exp(BUCKETS * GROWTH));
    }

    private static int bucketOf(long nanos) {
        if (nanos <= SMALLEST_NANOS) {
            return 0;
        }
        int bucket = (int) (Math.log((double) nanos / SMALLEST_NANOS) / GROWTH);
        return Math.min(BUCKETS - 1, bucket);
    }
}
