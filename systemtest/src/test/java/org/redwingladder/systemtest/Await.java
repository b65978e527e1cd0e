package org.redwingladder.systemtest;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for conditions that become true in other processes. */
final class Await {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(90);
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private Await() {}

    /** Waits until the condition holds, and fails if it does not hold in time. */
    static void until(String what, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + LIMIT_NANOS;
        while (!condition.call()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("waited too long until " + what);
            }
            LockSupport.parkNanos(STEP_NANOS);
        }
    }
}
