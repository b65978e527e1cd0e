package org.redwingladder.request;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests of this host that have no whole answer yet, for a planned stop. */
final class InFlightCounter {
    private final AtomicInteger mCount = new AtomicInteger();

    /** Counts a request in; the returned step counts it out, once. */
    Runnable enter() {
        mCount.incrementAndGet();
        AtomicBoolean left = new AtomicBoolean();
        return () -> {
            if (left.compareAndSet(false, true)) {
                mCount.decrementAndGet();
            }
        };
    }

    int count() {
        return mCount.get();
    }
}
