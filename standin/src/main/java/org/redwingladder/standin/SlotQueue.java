package org.redwingladder.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** A FIFO queue with a bounded number of concurrently running requests. */
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

    /**
     * Enqueues a request, or returns false if all slots are taken and the queue is full. An expired
     * request is refused immediately.
     */
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

    /**
     * Completes a running request and releases its slot; returns false if it was not running any
     * more.
     */
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

    /** Cancels a request whose connection was closed. */
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

    /** Records a request that was shed. */
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
