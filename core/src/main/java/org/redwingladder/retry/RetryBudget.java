package org.redwingladder.retry;

/**
 * Limits the retries of a service to a tenth of its requests.
 *
 * <p>Each request adds a tenth of a token, and each retry costs a whole token. The budget starts
 * empty, so that over its lifetime the attempts never exceed 1.1 times the requests. The number of
 * tokens is limited, so that a period without failures does not allow a retry storm later. Not
 * thread-safe.
 */
public final class RetryBudget {
    private static final int TENTHS_PER_TOKEN = 10;

    /** The tokens that a hundred requests add, a burst of a fraction of a second. */
    private static final int MAX_TOKENS = 10;

    private int mTenths;

    private RetryBudget() {}

    /** Creates an empty budget. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /** Records a request, which adds a tenth of a token. */
    public void recordRequest() {
        mTenths = Math.min(MAX_TOKENS * TENTHS_PER_TOKEN, mTenths + 1);
    }

    /** Acquires a token for a retry if one is available, and returns whether it was acquired. */
    public boolean tryAcquire() {
        if (mTenths < TENTHS_PER_TOKEN) {
            return false;
        }
        mTenths -= TENTHS_PER_TOKEN;
        return true;
    }

    /** Returns the number of whole tokens that are available. */
    public int tokens() {
        return mTenths / TENTHS_PER_TOKEN;
    }
}
