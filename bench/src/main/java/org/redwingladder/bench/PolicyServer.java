package org.redwingladder.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/** Fakes a backend server: slots, a first-in first-out queue before them, and changing speed. */
final class PolicyServer {
    final String mName;
    final int mZone;
    final int mSlots;

    /** Whether it exists: not lost with its region, and not yet to be added. */
    boolean mPresent = true;

    /** What the last load report said, as far as it has arrived. */
    int mReportedInFlight;

    private final PolicyEvents mEvents;
    private final Deque<Job> mWaiting = new ArrayDeque<>();
    private final List<Job> mRunning = new ArrayList<>();
    private double mSlowFactor = 1;
    private double mColdFactor = 1;
    private double mWarmAfter = 1;
    private double mServed;

    /** How much slot time has been used, in nanoseconds. */
    private double mBusyNanos;

    PolicyServer(PolicyEvents events, String name, int zone, int slots) {
        mEvents = events;
        mName = name;
        mZone = zone;
        mSlots = slots;
    }

    /** Holds one run of a request. */
    static final class Job {
        private final PolicyServer mServer;
        private final Runnable mDone;
        private double mLeftNanos;
        private long mSinceNanos;
        private long mStartedNanos = -1;
        private int mVersion;
        private boolean mEnded;

        private Job(PolicyServer server, double workNanos, Runnable done) {
            mServer = server;
            mLeftNanos = workNanos;
            mDone = done;
        }

        /** Ends the job; its slot is free at once. */
        void cancel() {
            if (!mEnded) {
                mServer.end(this);
            }
        }

        /** Returns when the work began, or -1 if it has not. */
        long startedNanos() {
            return mStartedNanos;
        }
    }

    /** Adds a job that calls {@code done} when its work is finished. */
    Job submit(double workNanos, Runnable done) {
        Job job = new Job(this, workNanos, done);
        if (mRunning.size() < mSlots) {
            start(job);
        } else {
            mWaiting.add(job);
        }
        return job;
    }

    private void start(Job job) {
        mServed++;
        job.mLeftNanos *= 1 + (mColdFactor - 1) * Math.exp(-mServed / mWarmAfter);
        job.mStartedNanos = mEvents.now();
        job.mSinceNanos = mEvents.now();
        mRunning.add(job);
        plan(job);
    }

    private void plan(Job job) {
        int version = ++job.mVersion;
        mEvents.after(
                (long) Math.ceil(job.mLeftNanos * mSlowFactor),
                () -> {
                    if (!job.mEnded && job.mVersion == version) {
                        end(job);
                        job.mDone.run();
                    }
                });
    }

    private void end(Job job) {
        job.mEnded = true;
        if (!mRunning.remove(job)) {
            mWaiting.remove(job);
            return;
        }
        mBusyNanos += mEvents.now() - job.mStartedNanos;
        Job next = mWaiting.poll();
        if (next != null) {
            start(next);
        }
    }

    /** Returns how long a job that comes now would wait, with the speed of now. */
    double startsInNanos() {
        if (mRunning.size() < mSlots) {
            return 0;
        }
        double[] free = new double[mSlots];
        for (int i = 0; i < mSlots; i++) {
            Job job = mRunning.get(i);
            double done = (mEvents.now() - job.mSinceNanos) / mSlowFactor;
            free[i] = Math.max(0, job.mLeftNanos - done) * mSlowFactor;
        }
        for (Job job : mWaiting) {
            Arrays.sort(free);
            free[0] += job.mLeftNanos * mSlowFactor;
        }
        return Arrays.stream(free).min().orElse(0);
    }

    /** Makes all work, that in progress included, take {@code factor} times as long from now on. */
    void slow(double factor) {
        for (Job job : mRunning) {
            job.mLeftNanos -= (mEvents.now() - job.mSinceNanos) / mSlowFactor;
            job.mLeftNanos = Math.max(0, job.mLeftNanos);
            job.mSinceNanos = mEvents.now();
        }
        mSlowFactor = factor;
        mRunning.forEach(this::plan);
    }

    /** Empties the caches: work takes {@code factor} times as long and warms up by use. */
    void cool(double factor, double warmAfter) {
        mColdFactor = factor;
        mWarmAfter = warmAfter;
        mServed = 0;
    }

    double slowFactor() {
        return mSlowFactor;
    }

    int inFlight() {
        return mRunning.size() + mWaiting.size();
    }

    int running() {
        return mRunning.size();
    }

    double busyNanos() {
        return mBusyNanos;
    }
}
