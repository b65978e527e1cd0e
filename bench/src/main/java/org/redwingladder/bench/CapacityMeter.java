package org.redwingladder.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Measures processor time of the current thread and memory that objects keep. */
final class CapacityMeter {
    private static final long MEASURE_NANOS = 1_000_000_000L;
    private static final int MAX_ROUNDS = 20_000;
    private static final int COPIES = 64;
    private static final int COLLECTIONS = 4;

    private CapacityMeter() {}

    /** Returns the processor time of one call of {@code action}, in microseconds. */
    static double cpuMicros(Runnable action) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        runUntil(threads, action);
        long before = threads.getCurrentThreadCpuTime();
        int rounds = runUntil(threads, action);
        return (threads.getCurrentThreadCpuTime() - before) / 1e3 / rounds;
    }

    private static int runUntil(ThreadMXBean threads, Runnable action) {
        long end = threads.getCurrentThreadCpuTime() + MEASURE_NANOS;
        int rounds = 0;
        while (rounds < MAX_ROUNDS && threads.getCurrentThreadCpuTime() < end) {
            action.run();
            rounds++;
        }
        return rounds;
    }

    /** Returns the heap that one object of {@code factory} keeps, as a mean over some copies. */
    static long retainedBytes(Supplier<?> factory) {
        factory.get();
        List<Object> copies = new ArrayList<>(COPIES);
        long before = usedHeap();
        for (int i = 0; i < COPIES; i++) {
            copies.add(factory.get());
        }
        long after = usedHeap();
        return copies.isEmpty() ? 0 : Math.max(0, (after - before) / COPIES);
    }

    private static long usedHeap() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        long used = Long.MAX_VALUE;
        for (int i = 0; i < COLLECTIONS; i++) {
            memory.gc();
            used = Math.min(used, memory.getHeapMemoryUsage().getUsed());
        }
        return used;
    }
}
