package org.redwingladder.http;

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

    private ReadyEvents() {}

    /**
     * Runs a task after the events that are ready together with the current one, and after the
     * tasks that handle these events.
     */
    public static void runAfter(XnioIoThread thread, Runnable task) {
        runAfter(thread, task, TASKS_OF_AN_EVENT);
    }

    private static void runAfter(XnioIoThread thread, Runnable task, int tasks) {
        thread.execute(tasks == 0 ? task : () -> runAfter(thread, task, tasks - 1));
    }
}
