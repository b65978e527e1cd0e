package org.redwingladder.http;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Runs a task at an instant unless it is cancelled before.
 *
 * <p>After a delay, an I/O thread runs the timers that are due before it looks for sockets that
 * became ready meanwhile. A timer that is late therefore waits once more, so that the answer which
 * it would give up is read first. Not thread-safe.
 */
public final class DeadlineTimer {
    /** More than the usual imprecision of the thread's timers. */
    private static final long LATE_NANOS = 20_000_000L;

    private static final long YIELD_MILLIS = 5;

    private final XnioIoThread mThread;
    private final long mDeadlineNanos;
    private final Runnable mTask;
    private XnioExecutor.Key mKey;

    private DeadlineTimer(XnioIoThread thread, long deadlineNanos, Runnable task) {
        mThread = thread;
        mDeadlineNanos = deadlineNanos;
        mTask = task;
        mKey =
                thread.executeAfter(
                        this::run, deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    /**
     * Starts a timer. Must be called on the I/O thread.
     *
     * @param deadlineNanos the instant of {@link System#nanoTime}
     */
    public static DeadlineTimer start(XnioIoThread thread, long deadlineNanos, Runnable task) {
        return new DeadlineTimer(thread, deadlineNanos, task);
    }

    private void run() {
        if (System.nanoTime() - mDeadlineNanos > LATE_NANOS) {
            mKey = mThread.executeAfter(mTask, YIELD_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            mTask.run();
        }
    }

    /** Prevents the task from running if it has not run yet. */
    public void cancel() {
        mKey.remove();
    }
}
