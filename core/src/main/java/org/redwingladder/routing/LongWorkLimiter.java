package org.redwingladder.routing;

/**
 * Limits the slots that long work may occupy.
 *
 * <p>A slot occupied by long work is unavailable to short work for a long time. So in addition to
 * the configured share, the average number of slots that short work uses is reserved for it, plus a
 * reserve for its variation. Not thread-safe.
 */
final class LongWorkLimiter {
    /** Time constant of the moving average of the slots that short work uses. */
    private static final double AVERAGING_NANOS = 2e9;

    private final double mReserveFactor;
    private double mMeanShortSlots;
    private long mUpdatedNanos;

    LongWorkLimiter(SiteTuning tuning, long nowNanos) {
        mReserveFactor = tuning.reserveFactor();
        mUpdatedNanos = nowNanos;
    }

    /** Records that short work has used {@code slotsInUse} slots since the last update. */
    void update(int slotsInUse, long nowNanos) {
        long elapsed = nowNanos - mUpdatedNanos;
        if (elapsed > 0) {
            mMeanShortSlots +=
                    (1 - Math.exp(-elapsed / AVERAGING_NANOS)) * (slotsInUse - mMeanShortSlots);
            mUpdatedNanos = nowNanos;
        }
    }

    /** Returns how many of {@code slots} long work may occupy; {@code percent} is configured. */
    int limit(int slots, int percent) {
        int configured = (int) ((long) slots * percent / 100);
        if (percent > 0 && slots > 0) {
            configured = Math.max(1, configured);
        }
        double reserved = mMeanShortSlots + mReserveFactor * Math.sqrt(mMeanShortSlots);
        int unreserved = (int) Math.floor(slots - reserved);
        return Math.min(configured, Math.max(1, unreserved));
    }
}
