package org.redwingladder.control;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.redwingladder.supervisor.Component;

/** Runs all control tasks of a process on one thread, so that their state needs no locks. */
public final class ControlEventLoop implements AutoCloseable {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final ScheduledThreadPoolExecutor mExecutor;
    private final long mOriginNanos = System.nanoTime();

    private ControlEventLoop(ScheduledThreadPoolExecutor executor) {
        mExecutor = executor;
    }

    /** Returns a loop with a thread of its own. */
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

    /** Returns the instant of {@link System#nanoTime} at which the loop's clock shows a time. */
    public long toNanoTime(long monotonicMillis) {
        return mOriginNanos + monotonicMillis * NANOS_PER_MILLI;
    }

    /** Runs a task on the loop; a failure is reported to the component that it belongs to. */
    public void execute(Runnable task, Component.FailureListener failures) {
        mExecutor.execute(guarded(task, failures));
    }

    /** Runs a task on the loop again and again, until it is cancelled or fails. */
    public PeriodicTask scheduleWithFixedDelay(
            long periodMillis, Runnable task, Component.FailureListener failures) {
        var future =
                mExecutor.scheduleWithFixedDelay(
                        guarded(task, failures), 0, periodMillis, TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    /** Stops a task that runs again and again. */
    public interface PeriodicTask {
        /** Runs the task no more. */
        void cancel();
    }

    private static Runnable guarded(Runnable task, Component.FailureListener failures) {
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
