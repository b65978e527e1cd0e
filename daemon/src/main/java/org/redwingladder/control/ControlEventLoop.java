package org.redwingladder.control;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.redwingladder.supervisor.Component;

/** Single-threaded event loop for all control tasks of a process; their state needs no locks. */
public final class ControlEventLoop implements AutoCloseable {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final ScheduledThreadPoolExecutor mExecutor;
    private final long mOriginNanos = System.nanoTime();

    private ControlEventLoop(ScheduledThreadPoolExecutor executor) {
        mExecutor = executor;
    }

    /** Returns an event loop with a new daemon thread. */
    public static ControlEventLoop create() {
        ScheduledThreadPoolExecutor executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "control");
                            thread.setDaemon(true);
                            return thread;
                        },
                        new ThreadPoolExecutor.DiscardPolicy());
        executor.setRemoveOnCancelPolicy(true);
        return new ControlEventLoop(executor);
    }

    /** Returns the executor of the loop. */
    public ScheduledExecutorService executor() {
        return mExecutor;
    }

    /** Returns the monotonic clock in milliseconds, from 0 at the creation of the loop. */
    public long nowMillis() {
        return (System.nanoTime() - mOriginNanos) / NANOS_PER_MILLI;
    }

    /** Converts a time of {@link #nowMillis} to the time base of {@link System#nanoTime}. */
    public long toNanoTime(long monotonicMillis) {
        return mOriginNanos + monotonicMillis * NANOS_PER_MILLI;
    }

    /** Runs a task on the event loop; anything that it throws is reported to {@code failures}. */
    public void execute(Runnable task, Component.FailureListener failures) {
        mExecutor.execute(reportingFailures(task, failures));
    }

    /**
     * Runs a task now and then repeatedly, each run {@code periodMillis} after the end of the one
     * before, until it is cancelled. Anything that it throws is reported to {@code failures}.
     */
    public PeriodicTask scheduleWithFixedDelay(
            long periodMillis, Runnable task, Component.FailureListener failures) {
        var future =
                mExecutor.scheduleWithFixedDelay(
                        reportingFailures(task, failures), 0, periodMillis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    /** Handle of a periodic task. */
    public interface PeriodicTask {
        /** Cancels the task; a run that has begun still completes. */
        void cancel();
    }

    private static Runnable reportingFailures(Runnable task, Component.FailureListener failures) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                failures.failed(e);
            }
        };
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }
}
