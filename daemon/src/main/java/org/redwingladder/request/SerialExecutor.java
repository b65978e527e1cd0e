package org.redwingladder.request;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time, in the order of submission.
 *
 * <p>Has no thread of its own: the thread that submits a task to an idle executor runs it, together
 * with the tasks that are submitted meanwhile, so that an uncontended task needs no thread switch.
 */
final class SerialExecutor {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ConcurrentLinkedQueue<Runnable> mTasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mPending = new AtomicInteger();

    /** Runs a task now or after the pending ones. An exception that it throws is logged. */
    void execute(Runnable task) {
        mTasks.add(task);
        if (mPending.getAndIncrement() == 0) {
            do {
                runNext();
            } while (mPending.decrementAndGet() > 0);
        }
    }

    private synchronized void runNext() {
        Runnable task = mTasks.poll();
        try {
            if (task != null) {
                task.run();
            }
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("dispatch: a task failed");
        }
    }
}
