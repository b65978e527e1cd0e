package org.redwingladder.bench;

import java.util.List;
import java.util.Random;

/**
 * Sends each request to a random backend server of the service's region, whose queue is first-in
 * first-out, and repeats it at another one, as often as time allows, when there is no answer yet.
 */
final class PolicyNaive implements PolicyRouter {
    private final PolicyWorld mWorld;
    private final Random mRandom;

    PolicyNaive(PolicyWorld world) {
        mWorld = world;
        mRandom = new Random(world.mSeed + 3);
    }

    @Override
    public void arrived(PolicyRequest request) {
        request.mArrivedNanos = mWorld.now();
        attempt(request);
    }

    private void attempt(PolicyRequest request) {
        long now = mWorld.now();
        if (request.decided() || now >= request.mDeadlineNanos) {
            return;
        }
        mWorld.mAttempts++;
        List<PolicyServer> near = mWorld.near(request.mZone);
        PolicyServer server = near.get(mRandom.nextInt(near.size()));
        long delay = mWorld.mDeployment.delayNanos(request.mZone, server.mZone);
        mWorld.mEvents.after(
                delay,
                () -> {
                    PolicyServer.Job[] job = new PolicyServer.Job[1];
                    job[0] =
                            server.submit(
                                    request.mWorkNanos,
                                    () -> {
                                        if (!request.decided()) {
                                            request.mStartedNanos = job[0].startedNanos();
                                        }
                                        mWorld.answered(
                                                request, delay + PolicyDeployment.CLIENT_NANOS);
                                    });
                });
        if (request.mIdempotent) {
            long patience = (request.mDeadlineNanos - request.mSentNanos) / 4;
            mWorld.mEvents.after(patience, () -> attempt(request));
        }
    }
}
