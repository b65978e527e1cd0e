package org.redwingladder.emulator;

import java.util.PriorityQueue;

/** Runs tasks in the order of their virtual times; tasks of the same time keep their order. */
final class VirtualTime {
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private long mNowNanos;
    private long mCount;

    private record Task(long atNanos, long number, Runnable step) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    long nowNanos() {
        return mNowNanos;
    }

    void after(long nanos, Runnable step) {
        mTasks.add(new Task(mNowNanos + Math.max(0, nanos), mCount++, step));
    }

    /** Runs all tasks up to a time. */
    void runUntil(long nanos) {
        while (!mTasks.isEmpty() && mTasks.peek().atNanos() <= nanos) {
            Task task = mTasks.remove();
            mNowNanos = task.atNanos();
            task.step().run();
        }
    }
}
