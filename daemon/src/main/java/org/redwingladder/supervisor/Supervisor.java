package org.redwingladder.supervisor;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Starts the components of a process and restarts those that fail.
 *
 * <p>A failed component is stopped and restarted after an exponential back-off. After {@link
 * #MAX_CONSECUTIVE_FAILURES} consecutive failures it is not restarted again, and the owner of the
 * supervisor is notified.
 */
public final class Supervisor implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 10_000;

    /** Consecutive failures before restarts stop; with the back-off, about a minute of attempts. */
    static final int MAX_CONSECUTIVE_FAILURES = 12;

    /** A component that ran this long has recovered: its earlier failures no longer count. */
    private static final long FAILURE_RESET_MILLIS = 60_000;

    private final ScheduledExecutorService mExecutor;
    private final LongSupplier mMonotonicMillis;
    private final Consumer<String> mPermanentFailureListener;
    private final List<Entry> mEntries = new ArrayList<>();
    private boolean mClosed;

    /**
     * The state of a component.
     *
     * @param name the component's name
     * @param running whether it is running
     * @param restarts the number of restarts
     * @param lastFailure the cause of the last failure; null if it has never failed
     */
    public record ComponentStatus(
            String name, boolean running, long restarts, @Nullable String lastFailure) {}

    private final class Entry {
        private final Component mComponent;
        private boolean mRunning;
        private boolean mRestartPending;
        private long mRestarts;
        private int mConsecutiveFailures;
        private int mGeneration;
        private long mStartedAtMillis;
        private @Nullable String mLastFailure;

        Entry(Component component) {
            mComponent = component;
        }

        private void start() throws Exception {
            int generation = ++mGeneration;
            mStartedAtMillis = mMonotonicMillis.getAsLong();
            mComponent.start(cause -> failed(this, generation, cause));
            mRunning = true;
        }
    }

    private Supervisor(
            ScheduledExecutorService executor,
            LongSupplier monotonicMillis,
            Consumer<String> permanentFailureListener) {
        mExecutor = executor;
        mMonotonicMillis = monotonicMillis;
        mPermanentFailureListener = permanentFailureListener;
    }

    /**
     * Returns a supervisor without components.
     *
     * @param executor runs the restarts
     * @param monotonicMillis the monotonic clock, in milliseconds
     * @param permanentFailureListener receives the name of a component that is not restarted again
     */
    public static Supervisor create(
            ScheduledExecutorService executor,
            LongSupplier monotonicMillis,
            Consumer<String> permanentFailureListener) {
        return new Supervisor(executor, monotonicMillis, permanentFailureListener);
    }

    /**
     * Starts a component and supervises it from then on.
     *
     * @throws Exception if this first start fails, which points to a fault of the configuration or
     *     the machine; the component is then not supervised
     */
    public synchronized void start(Component component) throws Exception {
        Entry entry = new Entry(component);
        entry.start();
        mEntries.add(entry);
    }

    /** Returns the state of all components in the order in which they were started. */
    public synchronized List<ComponentStatus> status() {
        List<ComponentStatus> status = new ArrayList<>();
        for (Entry entry : mEntries) {
            status.add(
                    new ComponentStatus(
                            entry.mComponent.name(),
                            entry.mRunning,
                            entry.mRestarts,
                            entry.mLastFailure));
        }
        return status;
    }

    /** Stops all components in the reverse order of their start. */
    @Override
    public synchronized void close() {
        mClosed = true;
        for (int i = mEntries.size() - 1; i >= 0; i--) {
            mEntries.get(i).mRunning = false;
            mEntries.get(i).mComponent.stop();
        }
    }

    private synchronized void failed(Entry entry, int generation, Throwable cause) {
        // A failure of an earlier generation, or one that already caused a restart, is stale.
        if (mClosed || entry.mRestartPending || generation != entry.mGeneration) {
            return;
        }
        entry.mRunning = false;
        entry.mLastFailure = String.valueOf(cause);
        if (mMonotonicMillis.getAsLong() - entry.mStartedAtMillis >= FAILURE_RESET_MILLIS) {
            entry.mConsecutiveFailures = 0;
        }
        entry.mConsecutiveFailures++;
        if (entry.mConsecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            LOG.atSevere().log(
                    "supervisor: %s failed %d consecutive times and is not restarted again: %s",
                    entry.mComponent.name(), entry.mConsecutiveFailures, cause);
            mPermanentFailureListener.accept(entry.mComponent.name());
            return;
        }
        long backoffMillis =
                Math.min(
                        MAX_BACKOFF_MILLIS,
                        INITIAL_BACKOFF_MILLIS << Math.min(entry.mConsecutiveFailures - 1, 10));
        LOG.atWarning().log(
                "supervisor: %s failed; restarting in %d ms: %s",
                entry.mComponent.name(), backoffMillis, cause);
        entry.mRestartPending = true;
        mExecutor.schedule(() -> restart(entry), backoffMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void restart(Entry entry) {
        entry.mRestartPending = false;
        if (mClosed) {
            return;
        }
        entry.mRestarts++;
        try {
            entry.mComponent.stop();
            entry.start();
        } catch (Exception e) {
            failed(entry, entry.mGeneration, e);
        }
    }
}
