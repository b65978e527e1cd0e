package org.redwingladder.http;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * The order of tasks and of the events that were ready at the same time.
 *
 * <p>An I/O thread handles the sockets that are ready in any order and then runs its tasks. After a
 * delay of the thread, a request may therefore be handled before a message that arrived earlier.
 */
public final class ReadyEvents {
    /** A response is checked for bytes that follow it and handed over, each by a task. */
    private static final int TASKS_OF_AN_EVENT = 2;

    /** The time between two tasks from which the thread counts as delayed. */
    private static final long DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private ReadyEvents() {}

    /**
     * Runs a task after the events that are ready together with the current one, and after the
     * tasks that handle these events. If the thread is delayed meanwhile, the task also runs after
     * the events that became ready in the delay; only once, so that a thread that is always late
     * makes progress.
     */
    public static void runAfter(XnioIoThread thread, Runnable task) {
        runAfter(thread, task, TASKS_OF_AN_EVENT, true);
    }

    private static void runAfter(
            XnioIoThread thread, Runnable task, int tasks, boolean restartAfterDelay) {
        long scheduledNanos = System.nanoTime();
        thread.execute(
                () -> {
                    boolean delayed = System.nanoTime() - scheduledNanos > DELAY_NANOS;
                    if (delayed && restartAfterDelay) {
                        runAfter(thread, task, TASKS_OF_AN_EVENT, false);
                    } else if (tasks == 0) {
                        task.run();
                    } else {
                        runAfter(thread, task, tasks - 1, restartAfterDelay);
                    }
                });
    }
}
