package org.redwingladder.once;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Records which tokens of one incarnation were used, and the responses to their work.
 *
 * <p>An entry is evicted only once the token's expiry plus the longest request time has passed, and
 * never while its work is running. When the store is full, no work is started. Responses beyond the
 * byte limit are not stored; their tokens remain spent. Not thread-safe.
 */
public final class UsedTokenStore {

    /** Whether work may start with a token. */
    public sealed interface BeginResult {
        /** The work may be sent now; the caller must report how it ended. */
        record Started() implements BeginResult {}

        /** The token was used, and there is no stored response. */
        record Spent() implements BeginResult {}

        /**
         * The work has run.
         *
         * @param response the response to the work
         */
        record Completed(StoredResponse response) implements BeginResult {}

        /**
         * The token has expired.
         *
         * @param certainlyNotRun whether a run would still be recorded, so that there was none
         */
        record Expired(boolean certainlyNotRun) implements BeginResult {}

        /** The token was issued by another host or incarnation. */
        record Foreign() implements BeginResult {}

        /** The store is full; the work did not run. */
        record Full() implements BeginResult {}
    }

    private enum State {
        RUNNING,
        UNKNOWN,
        DONE
    }

    private static final class Entry {
        final long mNumber;
        final long mEvictAt;
        State mState = State.RUNNING;
        @Nullable StoredResponse mResponse;

        Entry(long number, long evictAt) {
            mNumber = number;
            mEvictAt = evictAt;
        }
    }

    private final String mHost;
    private final long mIncarnation;
    private final int mMaxEntries;
    private final long mMaxBytes;
    private final Map<Long, Entry> mEntries = new HashMap<>();
    private final PriorityQueue<Entry> mByEvictAt =
            new PriorityQueue<>(Comparator.comparingLong(e -> e.mEvictAt));
    private long mNextNumber = 1;
    private long mBytes;

    private UsedTokenStore(String host, long incarnation, int maxEntries, long maxBytes) {
        mHost = host;
        mIncarnation = incarnation;
        mMaxEntries = maxEntries;
        mMaxBytes = maxBytes;
    }

    /**
     * Creates an empty store for the given incarnation of {@code host}.
     *
     * @param maxEntries the most tokens that are recorded at a time
     * @param maxBytes the most bytes that the stored responses may take
     */
    public static UsedTokenStore create(
            String host, long incarnation, int maxEntries, long maxBytes) {
        return new UsedTokenStore(host, incarnation, maxEntries, maxBytes);
    }

    /** Issues a token. A token takes no memory until it is used. */
    public SingleUseToken issue(String service, long expiresAt) {
        return new SingleUseToken(mHost, mIncarnation, mNextNumber++, service, expiresAt);
    }

    /**
     * Decides whether the work of {@code token} may be sent now, and if so records its use.
     *
     * @param token a token whose signature was verified
     * @param now the current time in epoch milliseconds
     * @param longestRequestMillis the longest request time of the token's service
     */
    public BeginResult begin(SingleUseToken token, long now, long longestRequestMillis) {
        if (!token.host().equals(mHost) || token.incarnation() != mIncarnation) {
            return new BeginResult.Foreign();
        }
        evictExpired(now);
        Entry entry = mEntries.get(token.number());
        if (entry != null) {
            StoredResponse response = entry.mResponse;
            return response == null ? new BeginResult.Spent() : new BeginResult.Completed(response);
        }
        long evictAt = token.expiresAt() + longestRequestMillis;
        if (now >= token.expiresAt()) {
            return new BeginResult.Expired(now < evictAt);
        }
        if (mEntries.size() >= mMaxEntries) {
            return new BeginResult.Full();
        }
        Entry added = new Entry(token.number(), evictAt);
        mEntries.put(token.number(), added);
        mByEvictAt.add(added);
        return new BeginResult.Started();
    }

    /** Records that the work of {@code token} did not run, which makes the token usable again. */
    public void recordNotRun(SingleUseToken token) {
        Entry entry = mEntries.get(token.number());
        if (entry != null && entry.mState == State.RUNNING) {
            mEntries.remove(token.number());
            mByEvictAt.remove(entry);
        }
    }

    /** Records that it is unknown whether the work of {@code token} ran. */
    public void recordUnknown(SingleUseToken token) {
        Entry entry = mEntries.get(token.number());
        if (entry != null && entry.mState == State.RUNNING) {
            entry.mState = State.UNKNOWN;
        }
    }

    /** Records the response to the work of {@code token}. */
    public void recordResponse(SingleUseToken token, StoredResponse response) {
        Entry entry = mEntries.get(token.number());
        if (entry == null || entry.mState == State.DONE) {
            return;
        }
        entry.mState = State.DONE;
        if (response.body().length <= StoredResponse.MAX_BODY_BYTES
                && mBytes + response.memoryBytes() <= mMaxBytes) {
            entry.mResponse = response;
            mBytes += response.memoryBytes();
        }
    }

    /** Returns the number of recorded tokens. */
    public int size() {
        return mEntries.size();
    }

    /** Returns the approximate size of the stored responses, in bytes. */
    public long bytes() {
        return mBytes;
    }

    private void evictExpired(long now) {
        Entry first = mByEvictAt.peek();
        while (first != null && first.mEvictAt <= now && first.mState != State.RUNNING) {
            mByEvictAt.poll();
            mEntries.remove(first.mNumber);
            if (first.mResponse != null) {
                mBytes -= first.mResponse.memoryBytes();
            }
            first = mByEvictAt.peek();
        }
    }
}
