package org.redwingladder.systemtest;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Polls conditions that become true in other processes. */
final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(90);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private Await() {}

    /** Waits until the condition holds; fails the test if it does not hold within 90 s. */
    static void until(String description, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.call()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("timed out waiting until " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
