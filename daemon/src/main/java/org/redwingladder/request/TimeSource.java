package org.redwingladder.request;

import java.util.concurrent.TimeUnit;

/** The monotonic clock and the wall clock. */
public interface TimeSource {

    /** Returns the monotonic time of {@link System#nanoTime}. */
    long nanos();

    /** Returns the wall-clock time in epoch milliseconds. */
    long millis();

    /** Returns the system clocks. */
    static TimeSource system() {
        return new TimeSource() {
            @Override
            public long nanos() {
                return System.nanoTime();
            }

            @Override
            public long millis() {
                return System.currentTimeMillis();
            }
        };
    }

    /** Converts a wall-clock instant to the monotonic clock, by the current offset of the two. */
    default long toNanos(long epochMillis) {
        return nanos() + TimeUnit.MILLISECONDS.toNanos(epochMillis - millis());
    }

    /** Converts a monotonic instant to the wall clock, by the current offset of the two. */
    default long toMillis(long nanoTime) {
        return millis() + TimeUnit.NANOSECONDS.toMillis(nanoTime - nanos());
    }
}
