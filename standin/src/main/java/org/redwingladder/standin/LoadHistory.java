package org.redwingladder.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** Remembers the load of the last minute, so that a report can lag. */
final class LoadHistory {
    private static final long KEPT_MILLIS = 60_000;

    /** Bounds the memory; a lag that reaches back further shows the oldest sample. */
    private static final int MAX_SAMPLES = 20_000;

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    /** Holds the load at one instant. */
    record Sample(long at, int inFlight) {}

    LoadHistory(long nowMillis) {
        mSamples.add(new Sample(nowMillis, 0));
    }

    synchronized void record(long nowMillis, int inFlight) {
        mSamples.addLast(new Sample(nowMillis, inFlight));
        while (mSamples.size() > MAX_SAMPLES
                || mSamples.size() > 1 && mSamples.getFirst().at() < nowMillis - KEPT_MILLIS) {
            mSamples.removeFirst();
        }
    }

    /** Returns the load as it was at {@code atMillis}. */
    synchronized int at(long atMillis) {
        for (var it = mSamples.descendingIterator(); it.hasNext(); ) {
            Sample sample = it.next();
            if (sample.at() <= atMillis) {
                return sample.inFlight();
            }
        }
        return mSamples.getFirst().inFlight();
    }
}
