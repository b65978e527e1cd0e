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
public final class TokenLedger {

    /** Tells whether work may start under a token. */
    public sealed interface Begin {
        /** Tells that the work may be sent now; the caller must report how it ended. */
        record Started() implements Begin {}

        /** Tells that the work was sent and that its outcome is not known (yet). */
        record Spent() implements Begin {}

        /**
         * Tells that the work has run.
         *
         * @param outcome the answer it gave
         */
        record Done(StoredOutcome outcome) implements Begin {}

        /**
         * Tells that the token is too old.
         *
         * @param certainlyNotRun whether the ledger would still remember a run
         */
        record Expired(boolean certainlyNotRun) implements Begin {}

        /** Tells that another host or incarnation issued the token. */
        record Foreign() implements Begin {}

        /** Tells that the ledger is full; nothing ran. */
        record Full() implements Begin {}
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
        @Nullable StoredOutcome mOutcome;

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

    private TokenLedger(String host, long incarnation, int maxEntries, long maxBytes) {
        mHost = host;
        mIncarnation = incarnation;
        mMaxEntries = maxEntries;
        mMaxBytes = maxBytes;
    }

    /** Returns an empty ledger of the given incarnation of {@code host}. */
    public static TokenLedger create(String host, long incarnation, int maxEntries, long maxBytes) {
        return new TokenLedger(host, incarnation, maxEntries, maxBytes);
    }

    /** Returns a new token. Only a used token takes memory. */
    public Token issue(String service, long expiresAt) {
        return new Token(mHost, mIncarnation, mNextNumber++, service, expiresAt);
    }

    /**
     * Decides whether work under {@code token} may be sent now.
     *
     * @param token a token whose signature was checked
     * @param now the current time in epoch milliseconds
     * @param longestRequestMillis the longest time a request of the token's service may run
     */
    public Begin begin(Token token, long now, long longestRequestMillis) {
        if (!token.host().equals(mHost) || token.incarnation() != mIncarnation) {
            return new Begin.Foreign();
        }
        forget(now);
        Entry entry = mEntries.get(token.number());
        if (entry != null) {
            StoredOutcome outcome = entry.mOutcome;
            return outcome == null ? new Begin.Spent() : new Begin.Done(outcome);
        }
        long forgetAt = token.expiresAt() + longestRequestMillis;
        if (now >= token.expiresAt()) {
            return new Begin.Expired(now < forgetAt);
        }
        if (mEntries.size() >= mMaxEntries) {
            return new Begin.Full();
        }
        Entry added = new Entry(token.number(), forgetAt);
        mEntries.put(token.number(), added);
        mByForgetAt.add(added);
        return new Begin.Started();
    }

    /** Notes that the work under {@code token} certainly did not run, so that it may be sent. */
    public void notRun(Token token) {
        Entry entry = mEntries.get(token.number());
        if (entry != null && entry.mState == State.RUNNING) {
            mEntries.remove(token.number());
            mByForgetAt.remove(entry);
        }
    }

    /** Notes that it is not known whether the work under {@code token} ran. */
    public void lost(Token token) {
        Entry entry = mEntries.get(token.number());
        if (entry != null && entry.mState == State.RUNNING) {
            entry.mState = State.UNKNOWN;
        }
    }

    /** Notes the outcome of the work under {@code token}. */
    public void completed(Token token, StoredOutcome outcome) {
        Entry entry = mEntries.get(token.number());
        if (entry == null || entry.mState == State.DONE) {
            return;
        }
        entry.mState = State.DONE;
        if (outcome.body().length <= StoredOutcome.MAX_BODY
                && mBytes + outcome.bytes() <= mMaxBytes) {
            entry.mOutcome = outcome;
            mBytes += outcome.bytes();
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
                mBytes -= first.mOutcome.bytes();
            }
            first = mByForgetAt.peek();
        }
    }
}
