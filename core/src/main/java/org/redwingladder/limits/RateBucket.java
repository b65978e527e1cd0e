package org.redwingladder.limits;

/**
 * Admits at most a cap's requests in any second.
 *
 * <p>The bucket is kept as the theoretical arrival time of the next request. Of a cap of {@code n}
 * a second, {@code b = max(1, floor(sqrt(n)))} may come at once, since random arrivals vary with
 * the square root of their number, and tokens come back every {@code 1 s / (n + 1 - b)}. The
 * request number {@code n + 1} after any request therefore comes at least one second later, so no
 * half-open window of one second ever holds more than {@code n}.
 *
 * <p>A new bucket is empty: its first token comes one interval after its creation. A former owner's
 * bucket could hold no later arrival time, so that both owners together stay within the cap too.
 * Instants are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class RateBucket {
    private static final long SECOND = 1_000_000_000L;

    private final long mPerSecond;
    private final long mIntervalNanos;
    private final long mToleranceNanos;
    private long mArrivalNanos;

    private RateBucket(long perSecond, long nowNanos) {
        mPerSecond = perSecond;
        long burst = Math.max(1, (long) Math.floor(Math.sqrt(perSecond)));
        long rate = perSecond + 1 - burst;
        mIntervalNanos = (SECOND + rate - 1) / rate;
        mToleranceNanos = (burst - 1) * mIntervalNanos;
        mArrivalNanos = nowNanos + burst * mIntervalNanos;
    }

    /**
     * Creates an empty bucket.
     *
     * @param perSecond the cap, 1 to 1,000,000,000 requests a second
     * @param nowNanos the current time
     * @throws IllegalArgumentException if the cap is out of range
     */
    public static RateBucket createEmpty(long perSecond, long nowNanos) {
        if (perSecond < 1 || perSecond > SECOND) {
            throw new IllegalArgumentException("cap out of range: " + perSecond);
        }
        return new RateBucket(perSecond, nowNanos);
    }

    /** Takes a token if there is one. */
    public boolean tryTake(long nowNanos) {
        if (nextNanos() > nowNanos) {
            return false;
        }
        mArrivalNanos = Math.max(mArrivalNanos, nowNanos) + mIntervalNanos;
        return true;
    }

    /** Returns the instant from which on there is a token. */
    public long nextNanos() {
        return mArrivalNanos - mToleranceNanos;
    }

    /** Returns the cap in requests a second. */
    public long perSecond() {
        return mPerSecond;
    }
}
