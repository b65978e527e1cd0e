package org.redwingladder.http;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of bodies that are held in memory at the same time. */
public final class BufferBudget {
    private final AtomicLong mReserved = new AtomicLong();
    private final long mMaxBytes;

    private BufferBudget(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Creates a budget.
     *
     * @param maxBytes the limit of all reservations together
     * @throws IllegalArgumentException if the limit is not positive
     */
    public static BufferBudget ofBytes(long maxBytes) {
        if (maxBytes < 1) {
            throw new IllegalArgumentException("limit must be positive: " + maxBytes);
        }
        return new BufferBudget(maxBytes);
    }

    /** Returns the bytes that are reserved. */
    public long reservedBytes() {
        return mReserved.get();
    }

    /** Returns the limit of all reservations together, in bytes. */
    public long maxBytes() {
        return mMaxBytes;
    }

    /** Creates an empty reservation. */
    public Reservation open() {
        return new Reservation(this);
    }

    private boolean tryReserve(long bytes) {
        if (mReserved.addAndGet(bytes) > mMaxBytes) {
            mReserved.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /**
     * The bytes that one body has reserved. Not thread-safe; each reservation that grew has to be
     * released.
     */
    public static final class Reservation {
        private final BufferBudget mBudget;
        private long mBytes;
        private boolean mReleased;

        private Reservation(BufferBudget budget) {
            mBudget = requireNonNull(budget);
        }

        /**
         * Enlarges the reservation to at least {@code bytes}. Returns false, and changes nothing,
         * if the limit of the budget would be exceeded or the reservation was released.
         */
        public boolean tryGrowTo(long bytes) {
            long needed = bytes - mBytes;
            if (needed <= 0) {
                return !mReleased;
            }
            if (mReleased || !mBudget.tryReserve(needed)) {
                return false;
            }
            mBytes = bytes;
            return true;
        }

        /** Returns all bytes to the budget; further calls have no effect. */
        public void release() {
            if (!mReleased) {
                mReleased = true;
                mBudget.mReserved.addAndGet(-mBytes);
                mBytes = 0;
            }
        }
    }
}
