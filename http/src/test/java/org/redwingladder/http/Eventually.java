package org.redwingladder.http;

import static org.assertj.core.api.Assertions.fail;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls conditions that become true in another thread. */
public final class Eventually {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private Eventually() {}

    /** Waits until the condition holds; fails the test if it does not hold within 20 s. */
    public static void until(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                fail("timed out waiting until " + description);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }
}
