package org.redwingladder.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps the load of the last minute, so that stale load reports can be generated. */
final class LoadHistory {
    private static final long RETENTION_MILLIS = 60_000;

    /** Bounds memory use; a lag that exceeds the history yields the oldest sample. */
    private static final int MAX_SAMPLES = 20_000;

    private final Deque<Sample> mStatusSamples = new ArrayDeque<>();

    /** The load at one instant. */
    record Sample(long at, int inFlight) {}

    LoadHistory(long nowMillis) {
        mStatusSamples.add(new Sample(nowMillis, 0));
    }

    synchronized void record(long nowMillis, int inFlight) {
        mStatusSamples.addLast(new Sample(nowMillis, inFlight));
        while (mStatusSamples.size() > MAX_SAMPLES
                || mStatusSamples.size() > 1
                        && mStatusSamples.getFirst().at() < nowMillis - RETENTION_MILLIS) {
            mStatusSamples.removeFirst();
        }
    }

    /** Returns the number of requests in flight at {@code atMillis}. */
    synchronized int at(long atMillis) {
        for (var it = mStatusSamples.descendingIterator(); it.hasNext(); ) {
            Sample sample = it.next();
            if (sample.at() <= atMillis) {
                return sample.inFlight();
            }
        }
        return mStatusSamples.getFirst().inFlight();
    }
}
