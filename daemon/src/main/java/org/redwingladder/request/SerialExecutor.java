package org.redwingladder.request;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs steps one at a time in the order in which they were added.
 *
 * <p>The thread that adds a step to an idle queue runs it itself, so that an uncontended step costs
 * no hand-off between threads.
 */
final class SerialExecutor {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ConcurrentLinkedQueue<Runnable> mSteps = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mPending = new AtomicInteger();

    void execute(Runnable step) {
        mSteps.add(step);
        if (mPending.getAndIncrement() == 0) {
            do {
                runNext();
            } while (mPending.decrementAndGet() > 0);
        }
    }

    private synchronized void runNext() {
        Runnable step = mSteps.poll();
        try {
            if (step != null) {
                step.run();
            }
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("dispatch: a step failed");
        }
    }
}
