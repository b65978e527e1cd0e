package org.redwingladder.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.redwingladder.routing.WorkClass;

/**
 * Keeps one queue for all backend servers of a service and knows everything: free slots, speeds,
 * service times. Short work comes first; long work may hold a fixed number of slots.
 */
final class PolicyOracle implements PolicyRouter {
    private final PolicyWorld mWorld;
    private final int mLongSlots;
    private final Deque<PolicyRequest> mShort = new ArrayDeque<>();
    private final Deque<PolicyRequest> mLong = new ArrayDeque<>();
    private int mLongInFlight;

    PolicyOracle(PolicyWorld world, int longSlots) {
        mWorld = world;
        mLongSlots = longSlots;
    }

    @Override
    public void arrived(PolicyRequest request) {
        request.mArrivedNanos = mWorld.now();
        mWorld.mAttempts++;
        (request.mWorkClass == WorkClass.SHORT ? mShort : mLong).add(request);
        dispatch();
    }

    private void dispatch() {
        while (true) {
            expire(mShort);
            expire(mLong);
            boolean longMayStart = !mLong.isEmpty() && mLongInFlight < mLongSlots;
            if (mShort.isEmpty() && !longMayStart) {
                return;
            }
            PolicyServer server = freeServer();
            if (server == null) {
                return;
            }
            send(mShort.isEmpty() ? mLong.remove() : mShort.remove(), server);
        }
    }

    /** Refuses what can no longer be answered in time. */
    private void expire(Deque<PolicyRequest> queue) {
        while (!queue.isEmpty()) {
            PolicyRequest first = queue.peek();
            double end = mWorld.now() + first.mWorkNanos + PolicyDeployment.CLIENT_NANOS;
            if (end <= first.mDeadlineNanos) {
                return;
            }
            mWorld.refused(queue.remove(), PolicyDeployment.CLIENT_NANOS);
        }
    }

    /** Returns a server at full speed: slow ones cost more than a wait for one of the others. */
    private @Nullable PolicyServer freeServer() {
        PolicyServer best = null;
        for (PolicyServer server : mWorld.mServers) {
            if (server.mPresent
                    && server.slowFactor() <= 1
                    && server.inFlight() < server.mSlots
                    && (best == null || server.inFlight() < best.inFlight())) {
                best = server;
            }
        }
        return best;
    }

    private void send(PolicyRequest request, PolicyServer server) {
        boolean isLong = request.mWorkClass == WorkClass.LONG;
        mLongInFlight += isLong ? 1 : 0;
        request.mStartedNanos = mWorld.now();
        server.submit(
                request.mWorkNanos,
                () -> {
                    mLongInFlight -= request.mWorkClass == WorkClass.LONG ? 1 : 0;
                    long back = 2 * PolicyDeployment.LOCAL_NANOS;
                    mWorld.answered(request, back + PolicyDeployment.CLIENT_NANOS);
                    dispatch();
                });
    }
}
