package org.redwingladder.routing;

import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Chooses the backend server with a free slot and the least expected completion time. */
public final class LoadBalancer {
    private final BackendPool mPool;
    private final RandomGenerator mRandom;

    /** Creates a load balancer that breaks ties with {@code random}. */
    LoadBalancer(BackendPool pool, RandomGenerator random) {
        mPool = pool;
        mRandom = random;
    }

    /** Returns a backend server other than {@code excluded}, or null if none has a free slot. */
    @Nullable Backend choose(@Nullable Backend excluded, long nowNanos) {
        Backend best = null;
        double bestFinish = 0;
        int ties = 0;
        for (Backend backend : mPool.backends()) {
            if (backend == excluded
                    || !backend.serving()
                    || !mPool.hasFreeSlot(backend, nowNanos)) {
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
