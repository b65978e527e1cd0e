package org.redwingladder.tool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/** Answers a client from a script and records what it asked. */
final class FakeTransport implements Transport {
    static final long LIFETIME_MILLIS = 5_000;

    final List<String> mLookups = new ArrayList<>();
    final List<String> mSent = new ArrayList<>();
    final Deque<AttemptResult> mResults = new ArrayDeque<>();
    final Deque<LookupResult> mTokens = new ArrayDeque<>();
    List<String> mHosts = List.of("a:1", "b:1");
    long mNow = 1_000;
    private int mIssued;

    @Override
    public CompletableFuture<AttemptResult> send(
            String address, Work work, String requestId, @Nullable String token) {
        mSent.add(address + " " + requestId + (token == null ? "" : " " + token));
        return CompletableFuture.completedFuture(mResults.remove());
    }

    @Override
    public CompletableFuture<LookupResult> lookup(
            String address, String service, int block, boolean once, long deadlineMillis) {
        mLookups.add(address + (once ? " once" : ""));
        if (once && !mTokens.isEmpty()) {
            return CompletableFuture.completedFuture(mTokens.remove());
        }
        List<EntryHost> entryHosts =
                mHosts.stream().map(host -> new EntryHost(host, "suva", host)).toList();
        return CompletableFuture.completedFuture(
                new LookupResult.Found(
                        new LookupResponse(
                                service,
                                block,
                                entryHosts,
                                mNow + LIFETIME_MILLIS,
                                1,
                                once ? "token" + ++mIssued : null)));
    }

    /** Carries out work; a wait moves the clock. */
    RequestResult run(Work work) {
        LookupCache cache = new LookupCache(this, List.of("first:1"), () -> mNow);
        return run(work, cache);
    }

    RequestResult run(Work work, LookupCache cache) {
        RequestRunner runner =
                new RequestRunner(
                        this,
                        cache,
                        () -> mNow,
                        millis ->
                                task -> {
                                    mNow += millis;
                                    task.run();
                                },
                        4);
        return runner.run(work).join();
    }

    static Work work(String method, boolean once) {
        return new Work("w", "store", 7, method, "/x", new byte[0], once, 20_000, -1);
    }

    static AttemptResult answer() {
        return new AttemptResult.Whole(200, new byte[0], "b1");
    }

    static AttemptResult refused(RefusalReason reason, Outcome outcome, long retryAt) {
        return new AttemptResult.Refused(new Refusal(reason, outcome, retryAt, "no"));
    }
}
