package org.redwingladder.limits;

/**
 * Token bucket that admits at most {@code n} requests in any window of one second.
 *
 * <p>The state is the theoretical arrival time of the generic cell rate algorithm (GCRA). The burst
 * size is {@code b = max(1, floor(sqrt(n)))}, because the number of random arrivals varies with the
 * square root of their mean. Tokens are refilled every {@code 1 s / (n + 1 - b)}. The {@code n}-th
 * request after any request is therefore admitted at least one second later, so that no half-open
 * window of one second contains more than {@code n} requests.
 *
 * <p>A new bucket is empty and gains its first token one interval after its creation. Because the
 * bucket of a former owner cannot have a later theoretical arrival time, the requests of the former
 * and the new owner together stay within the cap as well. Instants are nanoseconds of one monotonic
 * clock. Not thread-safe.
 */
public final class TokenBucket {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final long mPerSecond;
    private final long mIntervalNanos;
    private final long mToleranceNanos;
    private long mTheoreticalArrivalNanos;

    private TokenBucket(long perSecond, long nowNanos) {
        mPerSecond = perSecond;
        long burst = Math.max(1, (long) Math.floor(Math.sqrt(perSecond)));
        long rate = perSecond + 1 - burst;
        mIntervalNanos = (NANOS_PER_SECOND + rate - 1) / rate;
        mToleranceNanos = (burst - 1) * mIntervalNanos;
        mTheoreticalArrivalNanos = nowNanos + burst * mIntervalNanos;
    }

    /**
     * Creates an empty bucket.
     *
     * @param perSecond the cap in requests per second, 1 to 1,000,000,000
     * @throws IllegalArgumentException if the cap is out of range
     */
    public static TokenBucket createEmpty(long perSecond, long nowNanos) {
        if (perSecond < 1 || perSecond > NANOS_PER_SECOND) {
            throw new IllegalArgumentException(
                    "cap not between 1 and 1,000,000,000 requests per second: " + perSecond);
        }
        return new TokenBucket(perSecond, nowNanos);
    }

    /** Acquires a token if one is available, and returns whether it was acquired. */
    public boolean tryAcquire(long nowNanos) {
        if (nextTokenNanos() > nowNanos) {
            return false;
        }
        mTheoreticalArrivalNanos = Math.max(mTheoreticalArrivalNanos, nowNanos) + mIntervalNanos;
        return true;
    }

    /** Returns the earliest instant at which a token is available. */
    public long nextTokenNanos() {
        return mTheoreticalArrivalNanos - mToleranceNanos;
    }

    public long perSecond() {
        return mPerSecond;
    }
}
