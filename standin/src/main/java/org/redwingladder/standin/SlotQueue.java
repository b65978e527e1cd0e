package org.redwingladder.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Gives slots to work in the order of arrival. */
final class SlotQueue {
    private final int mSlots;
    private final int mBacklog;
    private final LoadHistory mLoad;
    private final Deque<Work> mWaiting = new ArrayDeque<>();
    private int mRunning;
    private int mMaxInFlight;
    private long mStarted;
    private long mCompleted;
    private long mCancelled;
    private long mDropped;
    private long mShed;
    private long mExpired;

    SlotQueue(int slots, int backlog, LoadHistory load) {
        mSlots = slots;
        mBacklog = backlog;
        mLoad = load;
    }

    /** Takes work in, or returns false if there is no room. Expired work is refused at once. */
    boolean offer(Work work) {
        if (refusedAsExpired(work)) {
            return true;
        }
        synchronized (this) {
            if (mRunning >= mSlots && mWaiting.size() >= mBacklog) {
                return false;
            }
            mWaiting.add(work);
            loadChanged();
        }
        startNext();
        return true;
    }

    private boolean refusedAsExpired(Work work) {
        synchronized (this) {
            if (!work.isExpired(System.currentTimeMillis())) {
                return false;
            }
            work.setState(Work.State.DONE);
            mExpired++;
        }
        work.exchange().getIoThread().execute(work::refuseExpired);
        return true;
    }

    /** Ends work that ran for its service time; returns false if it had ended before. */
    boolean completed(Work work) {
        synchronized (this) {
            if (work.state() != Work.State.RUNNING) {
                return false;
            }
            work.setState(Work.State.DONE);
            mRunning--;
            mCompleted++;
            work.journalEnd("completed");
            loadChanged();
        }
        startNext();
        return true;
    }

    /** Ends work whose connection was closed. */
    void closed(Work work) {
        synchronized (this) {
            switch (work.state()) {
                case WAITING -> {
                    mWaiting.remove(work);
                    mDropped++;
                }
                case RUNNING -> {
                    mRunning--;
                    mCancelled++;
                    work.cancelTimer();
                    work.journalEnd("cancelled");
                }
                case DONE -> {
                    return;
                }
                default -> throw new AssertionError(work.state());
            }
            work.setState(Work.State.DONE);
            loadChanged();
        }
        startNext();
    }

    /** Ends work that was not taken in. */
    synchronized void shed(Work work) {
        work.setState(Work.State.DONE);
        mShed++;
    }

    synchronized int inFlight() {
        return mRunning + mWaiting.size();
    }

    synchronized BackendStats stats(int connections, long connectionsOpened) {
        return new BackendStats(
                mStarted + mShed + mExpired + mDropped + mWaiting.size(),
                mStarted,
                mCompleted,
                mCancelled,
                mDropped,
                mShed,
                mExpired,
                inFlight(),
                mMaxInFlight,
                connections,
                connectionsOpened);
    }

    private void startNext() {
        while (true) {
            Work work = takeNext();
            if (work == null) {
                return;
            }
            Runnable next = work.state() == Work.State.RUNNING ? work::run : work::refuseExpired;
            work.exchange().getIoThread().execute(next);
        }
    }

    private synchronized @Nullable Work takeNext() {
        if (mRunning >= mSlots || mWaiting.isEmpty()) {
            return null;
        }
        Work work = mWaiting.remove();
        long now = System.currentTimeMillis();
        if (work.isExpired(now)) {
            work.setState(Work.State.DONE);
            mExpired++;
            loadChanged();
        } else {
            work.setState(Work.State.RUNNING);
            mRunning++;
            mStarted++;
            work.journalStart(now);
        }
        return work;
    }

    private void loadChanged() {
        int inFlight = mRunning + mWaiting.size();
        mMaxInFlight = Math.max(mMaxInFlight, inFlight);
        mLoad.record(System.currentTimeMillis(), inFlight);
    }
}
