package org.redwingladder.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;

/** The slots of cancelled attempts, released after a delay. Not thread-safe. */
final class DelayedSlotReleases {
    /** How long a slot stays in use until the backend server has noticed the closed connection. */
    private static final long CLOSE_DETECTION_NANOS = 2_000_000L;

    private final Deque<Release> mReleases = new ArrayDeque<>();

    private record Release(Backend backend, WorkClass workClass, long releaseAtNanos) {}

    void schedule(Backend backend, WorkClass workClass, long nowNanos) {
        mReleases.add(new Release(backend, workClass, nowNanos + CLOSE_DETECTION_NANOS));
    }

    /** Calls {@code onRelease} for each slot whose release is due. */
    void releaseDue(long nowNanos, BiConsumer<Backend, WorkClass> onRelease) {
        while (nextReleaseNanos() <= nowNanos) {
            Release release = mReleases.removeFirst();
            onRelease.accept(release.backend(), release.workClass());
        }
    }

    /** Returns when the next slot is released; {@link Long#MAX_VALUE} if there is none. */
    long nextReleaseNanos() {
        return mReleases.isEmpty() ? Long.MAX_VALUE : mReleases.peekFirst().releaseAtNanos();
    }

    boolean isEmpty() {
        return mReleases.isEmpty();
    }
}
