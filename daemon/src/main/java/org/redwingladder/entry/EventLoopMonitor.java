package org.redwingladder.entry;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * Logs delays of the I/O thread, on which all requests and all changes of the tables wait for their
 * turn. A host that is short of processor time learns of a change later than its log of the change
 * tells, since the delay comes before the log line.
 */
final class EventLoopMonitor {
    private static final long PERIOD_MILLIS = 200;
    private static final long LOGGED_DELAY_MILLIS = 250;

    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private long mDueNanos;

    EventLoopMonitor(XnioIoThread thread, EventLog log, EntryMetrics metrics) {
        mThread = thread;
        mLog = log;
        mMetrics = metrics;
    }

    /** Starts to measure; runs until the thread ends. */
    void start() {
        mDueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS);
        try {
            mThread.executeAfter(this::measure, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            mLog.event("host", "delay-monitor-stopped").with("cause", e).write();
        }
    }

    private void measure() {
        long delayMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mDueNanos);
        if (delayMillis >= LOGGED_DELAY_MILLIS) {
            mMetrics.count("host.delayed");
            mLog.event("host", "delayed").with("millis", delayMillis).write();
        }
        start();
    }
}
