package org.redwingladder.routing;

/**
 * Limits the slots that long work may hold.
 *
 * <p>A slot given to long work is lost to short work for a long time, so the slots that short work
 * is using on average, and a reserve for its variation, are kept from long work in addition to the
 * configured share. Not thread-safe.
 */
final class LongShare {
    /** How far back the use by short work is averaged. */
    private static final double MEMORY_NANOS = 2e9;

    private final double mReserveFactor;
    private double mShortInUse;
    private long mSinceNanos;

    LongShare(SiteTuning tuning, long nowNanos) {
        mReserveFactor = tuning.reserveFactor();
        mSinceNanos = nowNanos;
    }

    /** Takes into account that {@code inUse} slots served short work until now. */
    void update(int inUse, long nowNanos) {
        long passed = nowNanos - mSinceNanos;
        if (passed > 0) {
            mShortInUse += (1 - Math.exp(-passed / MEMORY_NANOS)) * (inUse - mShortInUse);
            mSinceNanos = nowNanos;
        }
    }

    /** Returns how many of {@code slots} long work may hold. */
    int limit(int slots, int percent) {
        int configured = (int) ((long) slots * percent / 100);
        if (percent > 0 && slots > 0) {
            configured = Math.max(1, configured);
        }
        double kept = mShortInUse + mReserveFactor * Math.sqrt(mShortInUse);
        int left = (int) Math.floor(slots - kept);
        return Math.min(configured, Math.max(1, left));
    }
}
