package org.redwingladder.request;

import java.util.concurrent.TimeUnit;

/** Reads the clocks of the request path. */
public interface TimeSource {

    /** Returns the monotonic time of {@link System#nanoTime}. */
    long nanos();

    /** Returns the wall-clock time in epoch milliseconds. */
    long millis();

    /** Returns the clocks of this machine. */
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

    /** Returns the monotonic instant of a wall-clock instant. */
    default long toNanos(long epochMillis) {
        return nanos() + TimeUnit.MILLISECONDS.toNanos(epochMillis - millis());
    }

    /** Returns the wall-clock instant of a monotonic instant. */
    default long toMillis(long nanoTime) {
        return millis() + TimeUnit.NANOSECONDS.toMillis(nanoTime - nanos());
    }
}
