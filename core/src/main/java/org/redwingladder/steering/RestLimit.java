package org.redwingladder.steering;

import java.util.ArrayDeque;

/**
 * Learns for how long connections to a service's servers may rest before they are used again.
 *
 * <p>Answers servers that forget resting connections without a notice, sooner than they state: what
 * is sent next is reset, and work that must not repeat then has an unknown outcome. A request that
 * is in work while its server crashes is lost as well, so that one loss proves nothing; requests
 * that are lost at once, one after the other, do. Not thread-safe.
 */
public final class RestLimit {
    /** A reset arrives within a round trip, which takes up to 70 ms between regions. */
    private static final long AT_ONCE_NANOS = 100_000_000L;

    /** Shorter rests are common, and losses after them say nothing of the rest. */
    private static final long MIN_REST_NANOS = 100_000_000L;

    /** The losses within {@link #MEMORY_NANOS} that show that servers forget connections. */
    private static final int LOSSES = 3;

    private static final long MEMORY_NANOS = 10_000_000_000L;

    /** Time for which the limit holds after the last loss. */
    private static final long HOLD_NANOS = 20_000_000_000L;

    /** The part of the shortest rest after which a request was lost. */
    private static final double USABLE_PART = 0.5;

    private final ArrayDeque<Loss> mLosses = new ArrayDeque<>();
    private long mLimitNanos = Long.MAX_VALUE;
    private long mHoldsUntilNanos;

    private record Loss(long atNanos, long restedNanos) {}

    private RestLimit() {}

    /** Creates a limit that allows any rest. */
    public static RestLimit create() {
        return new RestLimit();
    }

    /** Returns for how long a connection may have rested that carries the next request. */
    public long nanos(long nowNanos) {
        if (mLimitNanos != Long.MAX_VALUE && nowNanos - mHoldsUntilNanos >= 0) {
            mLimitNanos = Long.MAX_VALUE;
            mLosses.clear();
        }
        return mLimitNanos;
    }

    /**
     * Learns that a connection ended before an answer began.
     *
     * @param restedNanos how long the connection had rested before it was used, 0 if it was new
     * @param sentNanos when the request was sent
     */
    public void lost(long restedNanos, long sentNanos, long nowNanos) {
        if (restedNanos < MIN_REST_NANOS || nowNanos - sentNanos > AT_ONCE_NANOS) {
            return;
        }
        while (!mLosses.isEmpty() && nowNanos - mLosses.peekFirst().atNanos() > MEMORY_NANOS) {
            mLosses.removeFirst();
        }
        mLosses.addLast(new Loss(nowNanos, restedNanos));
        if (mLosses.size() < LOSSES) {
            return;
        }
        long shortest = Long.MAX_VALUE;
        for (Loss loss : mLosses) {
            shortest = Math.min(shortest, loss.restedNanos());
        }
        mLimitNanos = Math.min(mLimitNanos, (long) (USABLE_PART * shortest));
        mHoldsUntilNanos = nowNanos + HOLD_NANOS;
    }
}
