package org.redwingladder.tool;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * Carries out work as a client does: follows look-up answers, and tries again where that cannot
 * repeat work by mistake.
 */
final class RequestRunner {
    private final Transport mTransport;
    private final LookupCache mCache;
    private final LongSupplier mClock;
    private final LongFunction<Executor> mDelays;
    private final int mMaxAttempts;

    /**
     * Creates a runner.
     *
     * @param clock tells the current time in epoch milliseconds
     * @param delays returns an executor that runs a task after a number of milliseconds
     * @param maxAttempts the most attempts for one piece of work
     */
    RequestRunner(
            Transport transport,
            LookupCache cache,
            LongSupplier clock,
            LongFunction<Executor> delays,
            int maxAttempts) {
        mTransport = transport;
        mCache = cache;
        mClock = clock;
        mDelays = delays;
        mMaxAttempts = maxAttempts;
    }

    /** Carries out {@code work}; the future never fails. */
    CompletableFuture<RequestResult> run(Work work) {
        return new RequestRun(this, work).start();
    }

    Transport transport() {
        return mTransport;
    }

    LookupCache cache() {
        return mCache;
    }

    long now() {
        return mClock.getAsLong();
    }

    void later(long delayMillis, Runnable task) {
        mDelays.apply(delayMillis).execute(task);
    }

    int maxAttempts() {
        return mMaxAttempts;
    }
}
