package org.redwingladder.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of virtual time; equal times run in the order of their planning. */
final class PolicyEvents {
    private final PriorityQueue<Event> mQueue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::number));
    private long mNow;
    private long mNumber;

    private record Event(long nanos, long number, Runnable action) {}

    long now() {
        return mNow;
    }

    void at(long nanos, Runnable action) {
        mQueue.add(new Event(Math.max(nanos, mNow), mNumber++, action));
    }

    void after(long nanos, Runnable action) {
        at(mNow + nanos, action);
    }

    /** Runs all events up to and including {@code nanos}. */
    void runUntil(long nanos) {
        while (!mQueue.isEmpty() && mQueue.peek().nanos() <= nanos) {
            Event event = mQueue.remove();
            mNow = event.nanos();
            event.action().run();
        }
        mNow = nanos;
    }
}
