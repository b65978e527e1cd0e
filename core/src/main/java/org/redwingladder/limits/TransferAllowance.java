package org.redwingladder.limits;

/**
 * The time that this host waits for a client to send or to read. Each byte earns the time that it
 * takes at the lowest rate, up to a limit, so that single bytes do not keep a transfer open; time
 * in which the host does not wait for the client does not count. Not thread-safe.
 */
public final class TransferAllowance {
    /** The longest time without a byte; exceeds the time that clients wait for a response. */
    public static final long MAX_WAIT_NANOS = 15_000_000_000L;

    /** The lowest rate of a longer transfer. */
    public static final long MIN_BYTES_PER_SECOND = 16 << 10;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private boolean mWaiting;
    private long mDeadlineNanos;
    private long mLeftNanos = MAX_WAIT_NANOS;

    /** Begins a new transfer, which does not wait yet. */
    public void restart() {
        mWaiting = false;
        mLeftNanos = MAX_WAIT_NANOS;
    }

    /** Records that the host begins to wait for the client, unless it does so already. */
    public void waitBegins(long nowNanos) {
        if (!mWaiting) {
            mWaiting = true;
            mDeadlineNanos = nowNanos + mLeftNanos;
        }
    }

    /** Records that bytes were transferred, which ends the wait. */
    public void transferred(long bytes, long nowNanos) {
        if (mWaiting) {
            mWaiting = false;
            mLeftNanos = Math.max(0, mDeadlineNanos - nowNanos);
        }
        long earned = bytes * NANOS_PER_SECOND / MIN_BYTES_PER_SECOND;
        mLeftNanos = Math.min(MAX_WAIT_NANOS, mLeftNanos + earned);
    }

    /** Returns whether the host has waited for longer than the bytes of the transfer earned. */
    public boolean isExceeded(long nowNanos) {
        return mWaiting && nowNanos - mDeadlineNanos >= 0;
    }
}
