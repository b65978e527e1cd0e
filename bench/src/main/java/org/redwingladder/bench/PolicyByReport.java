package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Sends each request to the backend server of its region whose last report shows least load. */
final class PolicyByReport implements PolicyRouter {
    private final PolicyWorld mWorld;
    private final Random mRandom;

    PolicyByReport(PolicyWorld world) {
        mWorld = world;
        mRandom = new Random(world.mSeed + 5);
    }

    @Override
    public void arrived(PolicyRequest request) {
        mWorld.mAttempts++;
        List<PolicyServer> best = new ArrayList<>();
        for (PolicyServer server : mWorld.near(request.mZone)) {
            int load = server.mReportedInFlight;
            if (!best.isEmpty() && load < best.get(0).mReportedInFlight) {
                best.clear();
            }
            if (best.isEmpty() || load == best.get(0).mReportedInFlight) {
                best.add(server);
            }
        }
        PolicyServer server = best.get(mRandom.nextInt(best.size()));
        long delay = mWorld.mDeployment.delayNanos(request.mZone, server.mZone);
        mWorld.mEvents.after(
                delay,
                () ->
                        server.submit(
                                request.mWorkNanos,
                                () ->
                                        mWorld.answered(
                                                request, delay + PolicyDeployment.CLIENT_NANOS)));
    }
}
