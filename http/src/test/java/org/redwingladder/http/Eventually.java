package org.redwingladder.http;

import static org.assertj.core.api.Assertions.fail;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions that become true in another thread. */
public final class Eventually {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private Eventually() {}

    /** Waits until the condition holds, and fails if it does not hold in time. */
    public static void until(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() + LIMIT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                fail("waited too long until " + what);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }
}
