package org.redwingladder.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Gives slots to work in the order of arrival. */
final class SlotQueue {
    private final int mSlots;
    private final int mBacklog;
    private final LoadHistory mLoad;
    private final Deque<BackendRequest> mQueued = new ArrayDeque<>();
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
    boolean offer(BackendRequest request) {
        if (refuseIfExpired(request)) {
            return true;
        }
        synchronized (this) {
            if (mRunning >= mSlots && mQueued.size() >= mBacklog) {
                return false;
            }
            mQueued.add(request);
            recordLoad();
        }
        startNext();
        return true;
    }

    private boolean refuseIfExpired(BackendRequest request) {
        synchronized (this) {
            if (!request.isExpired(System.currentTimeMillis())) {
                return false;
            }
            request.setState(BackendRequest.State.DONE);
            mExpired++;
        }
        request.exchange().getIoThread().execute(request::refuseExpired);
        return true;
    }

    /** Ends work that ran for its service time; returns false if it had ended before. */
    boolean completed(BackendRequest request) {
        synchronized (this) {
            if (request.state() != BackendRequest.State.RUNNING) {
                return false;
            }
            request.setState(BackendRequest.State.DONE);
            mRunning--;
            mCompleted++;
            request.journalEnd("completed");
            recordLoad();
        }
        startNext();
        return true;
    }

    /** Ends work whose connection was closed. */
    void connectionClosed(BackendRequest request) {
        synchronized (this) {
            switch (request.state()) {
                case QUEUED -> {
                    mQueued.remove(request);
                    mDropped++;
                }
                case RUNNING -> {
                    mRunning--;
                    mCancelled++;
                    request.cancelTimer();
                    request.journalEnd("cancelled");
                }
                case DONE -> {
                    return;
                }
                default -> throw new AssertionError(request.state());
            }
            request.setState(BackendRequest.State.DONE);
            recordLoad();
        }
        startNext();
    }

    /** Ends work that was not taken in. */
    synchronized void recordShed(BackendRequest request) {
        request.setState(BackendRequest.State.DONE);
        mShed++;
    }

    synchronized int inFlight() {
        return mRunning + mQueued.size();
    }

    synchronized BackendStats stats(int connections, long connectionsOpened) {
        return new BackendStats(
                mStarted + mShed + mExpired + mDropped + mQueued.size(),
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
            BackendRequest request = dequeue();
            if (request == null) {
                return;
            }
            Runnable next =
                    request.state() == BackendRequest.State.RUNNING
                            ? request::run
                            : request::refuseExpired;
            request.exchange().getIoThread().execute(next);
        }
    }

    private synchronized @Nullable BackendRequest dequeue() {
        if (mRunning >= mSlots || mQueued.isEmpty()) {
            return null;
        }
        BackendRequest request = mQueued.remove();
        long now = System.currentTimeMillis();
        if (request.isExpired(now)) {
            request.setState(BackendRequest.State.DONE);
            mExpired++;
            recordLoad();
        } else {
            request.setState(BackendRequest.State.RUNNING);
            mRunning++;
            mStarted++;
            request.journalStart(now);
        }
        return request;
    }

    private void recordLoad() {
        int inFlight = mRunning + mQueued.size();
        mMaxInFlight = Math.max(mMaxInFlight, inFlight);
        mLoad.record(System.currentTimeMillis(), inFlight);
    }
}
