package org.redwingladder.steering;

import java.util.ArrayDeque;

/**
 * Learns the idle time up to which connections to a service's servers may be reused.
 *
 * <p>Some servers silently drop idle connections before their advertised timeout. The next request
 * on such a connection is reset, and the outcome of a non-idempotent request is then unknown. A
 * single loss is no evidence, because a request that is being processed when its server crashes is
 * lost as well. The limit therefore requires several losses that each follow shortly after the
 * request was sent. Not thread-safe.
 */
public final class IdleConnectionLimit {
    /** A reset arrives within a round-trip time, which is up to 70 ms between regions. */
    private static final long RESET_DETECTION_NANOS = 100_000_000L;

    /** Shorter idle times are common, and losses after them are not caused by the idle time. */
    private static final long MIN_IDLE_NANOS = 100_000_000L;

    /**
     * The losses within {@link #LOSS_WINDOW_NANOS} that show that servers drop idle connections.
     */
    private static final int LOSSES_TO_LIMIT = 3;

    private static final long LOSS_WINDOW_NANOS = 10_000_000_000L;

    /** Time after the last loss for which the limit applies. */
    private static final long LIMIT_LIFETIME_NANOS = 20_000_000_000L;

    /** The limit relative to the shortest idle time after which a request was lost. */
    private static final double LIMIT_SHARE = 0.5;

    private final ArrayDeque<Loss> mLosses = new ArrayDeque<>();
    private long mLimitNanos = Long.MAX_VALUE;
    private long mLimitExpiresNanos;

    private record Loss(long atNanos, long idleNanos) {}

    private IdleConnectionLimit() {}

    /** Creates a limit that allows any idle time. */
    public static IdleConnectionLimit create() {
        return new IdleConnectionLimit();
    }

    /**
     * Returns the longest idle time in nanoseconds after which a connection may be reused, {@link
     * Long#MAX_VALUE} if there is no limit.
     */
    public long maxIdleNanos(long nowNanos) {
        if (mLimitNanos != Long.MAX_VALUE && nowNanos - mLimitExpiresNanos >= 0) {
            mLimitNanos = Long.MAX_VALUE;
            mLosses.clear();
        }
        return mLimitNanos;
    }

    /**
     * Records that a connection was closed before an answer started.
     *
     * @param idleNanos the idle time of the connection before it was reused, 0 if it was new
     * @param sentNanos the instant at which the request was sent
     */
    public void recordLoss(long idleNanos, long sentNanos, long nowNanos) {
        if (idleNanos < MIN_IDLE_NANOS || nowNanos - sentNanos > RESET_DETECTION_NANOS) {
            return;
        }
        while (!mLosses.isEmpty() && nowNanos - mLosses.peekFirst().atNanos() > LOSS_WINDOW_NANOS) {
            mLosses.removeFirst();
        }
        mLosses.addLast(new Loss(nowNanos, idleNanos));
        if (mLosses.size() < LOSSES_TO_LIMIT) {
            return;
        }
        long shortest = Long.MAX_VALUE;
        for (Loss loss : mLosses) {
            shortest = Math.min(shortest, loss.idleNanos());
        }
        mLimitNanos = Math.min(mLimitNanos, (long) (LIMIT_SHARE * shortest));
        mLimitExpiresNanos = nowNanos + LIMIT_LIFETIME_NANOS;
    }
}
