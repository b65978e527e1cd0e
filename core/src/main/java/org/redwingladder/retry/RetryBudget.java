package org.redwingladder.retry;

/**
 * Bounds the attempts after the first to a tenth of the requests of a service.
 *
 * <p>Each request earns a tenth of a token, and each further attempt costs a whole one. The budget
 * starts empty and saves up at most a fixed number of tokens, so that attempts never exceed 1.1
 * times the requests, over the whole life of the budget, and a quiet hour does not pay for a storm.
 * Not thread-safe.
 */
public final class RetryBudget {
    private static final int TOKEN = 10;

    /** Pays for the retries of a hundred requests, a burst of a fraction of a second. */
    private static final int MAX_TOKENS = 10;

    private int mTenths;

    private RetryBudget() {}

    /** Creates an empty budget. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /** Counts a request, which earns a tenth of a token. */
    public void request() {
        mTenths = Math.min(MAX_TOKENS * TOKEN, mTenths + 1);
    }

    /** Takes a token for a further attempt if there is one. */
    public boolean tryTake() {
        if (mTenths < TOKEN) {
            return false;
        }
        mTenths -= TOKEN;
        return true;
    }

    /** Returns the whole tokens that are left. */
    public int tokens() {
        return mTenths / TOKEN;
    }
}
