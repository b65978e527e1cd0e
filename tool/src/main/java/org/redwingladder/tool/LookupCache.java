package org.redwingladder.tool;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.api.Refusal;

/**
 * Keeps look-up answers until they expire, as a client does.
 *
 * <p>An expired answer still tells whom to ask for the next one; the first addresses are those that
 * the client was started with. Requests that need the same answer share one look-up.
 */
final class LookupCache {
    private final Transport mTransport;
    private final List<String> mFirstAddresses;
    private final LongSupplier mClock;
    private final Map<Key, LookupResponse> mAnswers = new ConcurrentHashMap<>();
    private final Map<Key, CompletableFuture<Outcome>> mPending = new ConcurrentHashMap<>();
    private final LongAdder mLookups = new LongAdder();

    private record Key(String service, int block) {}

    /**
     * Tells what became of the search for an answer.
     *
     * @param answer the answer, if there is one
     * @param refusal the last refusal, if there was one
     */
    record Outcome(@Nullable LookupResponse answer, @Nullable Refusal refusal) {}

    /**
     * Creates an empty cache.
     *
     * @param clock tells the current time in epoch milliseconds
     */
    LookupCache(Transport transport, List<String> firstAddresses, LongSupplier clock) {
        mTransport = transport;
        mFirstAddresses = List.copyOf(firstAddresses);
        mClock = clock;
    }

    /** Returns how many look-ups were sent. */
    long lookups() {
        return mLookups.sum();
    }

    /** Returns an answer that has not expired, asking for one if there is none. */
    CompletableFuture<Outcome> answer(Work work) {
        Key key = new Key(work.service(), work.block());
        LookupResponse kept = mAnswers.get(key);
        if (kept != null && mClock.getAsLong() < kept.expiresAt()) {
            return CompletableFuture.completedFuture(new Outcome(kept, null));
        }
        CompletableFuture<Outcome> mine = new CompletableFuture<>();
        CompletableFuture<Outcome> other = mPending.putIfAbsent(key, mine);
        if (other != null) {
            return other;
        }
        ask(work, addresses(kept), 0, null)
                .thenAccept(
                        outcome -> {
                            if (outcome.answer() != null) {
                                mAnswers.put(key, outcome.answer());
                            }
                            mPending.remove(key);
                            mine.complete(outcome);
                        });
        return mine;
    }

    /** Drops an answer whose entry hosts were of no use. */
    void forget(Work work, LookupResponse answer) {
        mAnswers.remove(new Key(work.service(), work.block()), answer);
    }

    private CompletableFuture<Outcome> ask(
            Work work, List<String> addresses, int index, @Nullable Refusal last) {
        if (index == addresses.size() || mClock.getAsLong() >= work.deadlineMillis()) {
            return CompletableFuture.completedFuture(new Outcome(null, last));
        }
        mLookups.increment();
        return mTransport
                .lookup(
                        addresses.get(index),
                        work.service(),
                        work.block(),
                        false,
                        work.deadlineMillis())
                .thenCompose(
                        result ->
                                switch (result) {
                                    case LookupResult.Found found ->
                                            CompletableFuture.completedFuture(
                                                    new Outcome(found.answer(), null));
                                    case LookupResult.Refused refused ->
                                            ask(work, addresses, index + 1, refused.refusal());
                                    case LookupResult.Failed failed ->
                                            ask(work, addresses, index + 1, last);
                                });
    }

    private List<String> addresses(@Nullable LookupResponse expired) {
        Set<String> addresses = new LinkedHashSet<>();
        if (expired != null) {
            expired.entryHosts().stream().map(EntryHost::address).forEach(addresses::add);
        }
        addresses.addAll(mFirstAddresses);
        return new ArrayList<>(addresses);
    }
}
