package org.redwingladder.once;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Remembers which tokens of one incarnation were used, and with what outcome.
 *
 * <p>An entry is forgotten only after the token's expiry plus the longest request time, and never
 * while its work runs. When the ledger is full, new tokens are not started. Outcomes beyond the
 * byte limit are not kept; the token stays spent. Not safe for use by several threads.
 */
public final class UsedTokenStore {

    /** Tells whether work may start under a token. */
    public sealed interface BeginResult {
        /** Tells that the work may be sent now; the caller must report how it ended. */
        record Started() implements BeginResult {}

        /** Tells that the work was sent and that its outcome is not known (yet). */
        record Spent() implements BeginResult {}

        /**
         * Tells that the work has run.
         *
         * @param outcome the answer it gave
         */
        record Completed(StoredResponse outcome) implements BeginResult {}

        /**
         * Tells that the token is too old.
         *
         * @param certainlyNotRun whether the ledger would still remember a run
         */
        record Expired(boolean certainlyNotRun) implements BeginResult {}

        /** Tells that another host or incarnation issued the token. */
        record Foreign() implements BeginResult {}

        /** Tells that the ledger is full; nothing ran. */
        record Full() implements BeginResult {}
    }

    private enum State {
        RUNNING,
        UNKNOWN,
        DONE
    }

    private static final class Entry {
        final long mNumber;
        final long mForgetAt;
        State mState = State.RUNNING;
        @Nullable StoredResponse mOutcome;

        Entry(long number, long forgetAt) {
            mNumber = number;
            mForgetAt = forgetAt;
        }
    }

    private final String mHost;
    private final long mIncarnation;
    private final int mMaxEntries;
    private final long mMaxBytes;
    private final Map<Long, Entry> mEntries = new HashMap<>();
    private final PriorityQueue<Entry> mByForgetAt =
            new PriorityQueue<>(Comparator.comparingLong(e -> e.mForgetAt));
    private long mNextNumber = 1;
    private long mBytes;

    private UsedTokenStore(String host, long incarnation, int maxEntries, long maxBytes) {
        mHost = host;
        mIncarnation = incarnation;
        mMaxEntries = maxEntries;
        mMaxBytes = maxBytes;
    }

    /** Returns an empty ledger of the given incarnation of {@code host}. */
    public static UsedTokenStore create(String host, long incarnation, int maxEntries, long maxBytes) {
        return new UsedTokenStore(host, incarnation, maxEntries, maxBytes);
    }

    /** Returns a new token. Only a used token takes memory. */
    public SingleUseToken issue(String service, long expiresAt) {
        return new SingleUseToken(mHost, mIncarnation, mNextNumber++, service, expiresAt);
    }

    /**
     * Decides whether work under {@code token} may be sent now.
     *
     * @param token a token whose signature was checked
     * @param now the current time in epoch milliseconds
     * @param longestRequestMillis the longest time a request of the token's service may run
     */
    public BeginResult begin(SingleUseToken token, long now, long longestRequestMillis) {
        if (!token.host().equals(mHost) || token.incarnation() != mIncarnation) {
            return new BeginResult.Foreign();
        }
        forget(now);
        Entry entry = mEntries.get(token.number());
        if (entry != null) {
            StoredResponse outcome = entry.mOutcome;
            return outcome == null ? new BeginResult.Spent() : new BeginResult.Completed(outcome);
        }
        long forgetAt = token.expiresAt() + longestRequestMillis;
        if (now >= token.expiresAt()) {
            return new BeginResult.Expired(now < forgetAt);
        }
        if (mEntries.size() >= mMaxEntries) {
            return new BeginResult.Full();
        }
        Entry added = new Entry(token.number(), forgetAt);
        mEntries.put(token.number(), added);
        mByForgetAt.add(added);
        return new BeginResult.Started();
    }

    /** Notes that the work under {@code token} certainly did not run, so that it may be sent. */
    public void recordNotRun(SingleUseToken token) {
        Entry entry = mEntries.get(token.number());
        if (entry != null && entry.mState == State.RUNNING) {
            mEntries.remove(token.number());
            mByForgetAt.remove(entry);
        }
    }

    /** Notes that it is not known whether the work under {@code token} ran. */
    public void recordUnknown(SingleUseToken token) {
        Entry entry = mEntries.get(token.number());
        if (entry != null && entry.mState == State.RUNNING) {
            entry.mState = State.UNKNOWN;
        }
    }

    /** Notes the outcome of the work under {@code token}. */
    public void recordResponse(SingleUseToken token, StoredResponse outcome) {
        Entry entry = mEntries.get(token.number());
        if (entry == null || entry.mState == State.DONE) {
            return;
        }
        entry.mState = State.DONE;
        if (outcome.body().length <= StoredResponse.MAX_BODY_BYTES
                && mBytes + outcome.memoryBytes() <= mMaxBytes) {
            entry.mOutcome = outcome;
            mBytes += outcome.memoryBytes();
        }
    }

    /** Returns the number of remembered tokens. */
    public int size() {
        return mEntries.size();
    }

    /** Returns the bytes of the remembered outcomes. */
    public long bytes() {
        return mBytes;
    }

    private void forget(long now) {
        Entry first = mByForgetAt.peek();
        while (first != null && first.mForgetAt <= now && first.mState != State.RUNNING) {
            mByForgetAt.poll();
            mEntries.remove(first.mNumber);
            if (first.mOutcome != null) {
                mBytes -= first.mOutcome.memoryBytes();
            }
            first = mByForgetAt.peek();
        }
    }
}
