package org.redwingladder.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;

/** Holds the slots of attempts that were cancelled a moment ago. Not thread-safe. */
final class ClosingSlots {
    /** Until a backend server has seen that a connection was closed, its slot is still taken. */
    private static final long CLOSE_NANOS = 2_000_000L;

    private final Deque<Closing> mClosing = new ArrayDeque<>();

    private record Closing(Backend backend, WorkClass workClass, long freeAtNanos) {}

    void add(Backend backend, WorkClass workClass, long nowNanos) {
        mClosing.add(new Closing(backend, workClass, nowNanos + CLOSE_NANOS));
    }

    /** Calls {@code freed} for each slot that is free again. */
    void free(long nowNanos, BiConsumer<Backend, WorkClass> freed) {
        while (nextFreeNanos() <= nowNanos) {
            Closing closing = mClosing.removeFirst();
            freed.accept(closing.backend(), closing.workClass());
        }
    }

    /** Returns when the next slot is free; {@link Long#MAX_VALUE} if none is held. */
    long nextFreeNanos() {
        return mClosing.isEmpty() ? Long.MAX_VALUE : mClosing.peekFirst().freeAtNanos();
    }

    boolean isEmpty() {
        return mClosing.isEmpty();
    }
}
