package org.redwingladder.routing;

import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Chooses the backend server with a free slot that is expected to finish first. */
public final class BackendChooser {
    private final BackendPool mPool;
    private final RandomGenerator mRandom;

    /** Creates a chooser that breaks ties with {@code random}. */
    BackendChooser(BackendPool pool, RandomGenerator random) {
        mPool = pool;
        mRandom = random;
    }

    /** Returns a backend server other than {@code not}, or null if none has a free slot. */
    @Nullable Backend choose(@Nullable Backend not, long nowNanos) {
        Backend best = null;
        double bestFinish = 0;
        int ties = 0;
        for (Backend backend : mPool.each()) {
            if (backend == not || !backend.serving() || !mPool.hasFreeSlot(backend, nowNanos)) {
                continue;
            }
            double finish = backend.expectedFinish();
            if (best == null || finish < bestFinish) {
                best = backend;
                bestFinish = finish;
                ties = 1;
            } else if (finish == bestFinish && mRandom.nextInt(++ties) == 0) {
                best = backend;
            }
        }
        return best;
    }
}
