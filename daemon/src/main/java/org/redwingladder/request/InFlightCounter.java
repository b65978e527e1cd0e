package org.redwingladder.request;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests of this host that are in progress, so that a planned stop can drain them. */
final class InFlightCounter {
    private final AtomicInteger mCount = new AtomicInteger();

    /** Increments the count; the returned callback decrements it, on its first call only. */
    Runnable increment() {
        mCount.incrementAndGet();
        AtomicBoolean decremented = new AtomicBoolean();
        return () -> {
            if (decremented.compareAndSet(false, true)) {
                mCount.decrementAndGet();
            }
        };
    }

    int count() {
        return mCount.get();
    }
}
