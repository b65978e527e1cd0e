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
 * Owns the parts of a process. A part that fails is stopped and started again after a back-off; a
 * part that fails too often in a row is given up, which the owner of the supervisor is told.
 */
public final class Supervisor implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long FIRST_BACK_OFF_MILLIS = 100;
    private static final long LONGEST_BACK_OFF_MILLIS = 10_000;

    /** The failures in a row after which a part is given up, about a minute of attempts. */
    static final int MAX_FAILURES = 12;

    // A part that ran this long has recovered from what made it fail before.
    private static final long RECOVERED_MILLIS = 60_000;

    private final ScheduledExecutorService mExecutor;
    private final LongSupplier mMonotonicMillis;
    private final Consumer<String> mGivenUp;
    private final List<Entry> mEntries = new ArrayList<>();
    private boolean mClosed;

    /**
     * Shows the state of a part.
     *
     * @param name the part's name
     * @param running whether it is started
     * @param restarts how often it was started again
     * @param lastFailure why it failed last, if it did
     */
    public record ComponentStatus(
            String name, boolean running, long restarts, @Nullable String lastFailure) {}

    private final class Entry {
        private final Component mPart;
        private boolean mRunning;
        private boolean mRestarting;
        private long mRestarts;
        private int mFailures;
        private int mGeneration;
        private long mStartedAt;
        private @Nullable String mLastFailure;

        Entry(Component part) {
            mPart = part;
        }

        private void start() throws Exception {
            int generation = ++mGeneration;
            mStartedAt = mMonotonicMillis.getAsLong();
            mPart.start(cause -> failed(this, generation, cause));
            mRunning = true;
        }
    }

    private Supervisor(
            ScheduledExecutorService executor,
            LongSupplier monotonicMillis,
            Consumer<String> givenUp) {
        mExecutor = executor;
        mMonotonicMillis = monotonicMillis;
        mGivenUp = givenUp;
    }

    /**
     * Returns a supervisor without parts.
     *
     * @param executor runs the restarts
     * @param monotonicMillis the clock
     * @param givenUp receives the name of a part that cannot be restarted
     */
    public static Supervisor create(
            ScheduledExecutorService executor,
            LongSupplier monotonicMillis,
            Consumer<String> givenUp) {
        return new Supervisor(executor, monotonicMillis, givenUp);
    }

    /**
     * Starts a part and owns it from now on.
     *
     * @throws Exception if the first start fails, which is a fault of the configuration or the host
     */
    public synchronized void start(Component part) throws Exception {
        Entry entry = new Entry(part);
        entry.start();
        mEntries.add(entry);
    }

    /** Returns the state of all parts in the order in which they were started. */
    public synchronized List<ComponentStatus> status() {
        List<ComponentStatus> status = new ArrayList<>();
        for (Entry entry : mEntries) {
            status.add(
                    new ComponentStatus(
                            entry.mPart.name(),
                            entry.mRunning,
                            entry.mRestarts,
                            entry.mLastFailure));
        }
        return status;
    }

    /** Stops all parts, the last one first. */
    @Override
    public synchronized void close() {
        mClosed = true;
        for (int i = mEntries.size() - 1; i >= 0; i--) {
            mEntries.get(i).mRunning = false;
            mEntries.get(i).mPart.stop();
        }
    }

    private synchronized void failed(Entry entry, int generation, Throwable cause) {
        if (mClosed || entry.mRestarting || generation != entry.mGeneration) {
            return;
        }
        entry.mRunning = false;
        entry.mLastFailure = String.valueOf(cause);
        if (mMonotonicMillis.getAsLong() - entry.mStartedAt >= RECOVERED_MILLIS) {
            entry.mFailures = 0;
        }
        entry.mFailures++;
        if (entry.mFailures >= MAX_FAILURES) {
            LOG.atSevere().log(
                    "supervisor: %s failed %d times in a row and is given up: %s",
                    entry.mPart.name(), entry.mFailures, cause);
            mGivenUp.accept(entry.mPart.name());
            return;
        }
        long backOff =
                Math.min(
                        LONGEST_BACK_OFF_MILLIS,
                        FIRST_BACK_OFF_MILLIS << Math.min(entry.mFailures - 1, 10));
        LOG.atWarning().log(
                "supervisor: %s failed and is restarted in %d ms: %s",
                entry.mPart.name(), backOff, cause);
        entry.mRestarting = true;
        mExecutor.schedule(() -> restart(entry), backOff, TimeUnit.MILLISECONDS);
    }

    private synchronized void restart(Entry entry) {
        entry.mRestarting = false;
        if (mClosed) {
            return;
        }
        entry.mRestarts++;
        try {
            entry.mPart.stop();
            entry.start();
        } catch (Exception e) {
            failed(entry, entry.mGeneration, e);
        }
    }
}
