package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Lets each entry host choose by itself: of two random backend servers of its region the one at
 * which the host has less in flight. There is no owner and no queue before the servers.
 */
final class PolicyHosts implements PolicyRouter {
    private final PolicyWorld mWorld;
    private final Random mRandom;
    private final Map<String, Integer> mInFlight = new HashMap<>();

    PolicyHosts(PolicyWorld world) {
        mWorld = world;
        mRandom = new Random(world.mSeed + 4);
    }

    @Override
    public void arrived(PolicyRequest request) {
        mWorld.mAttempts++;
        List<PolicyServer> near = new ArrayList<>(mWorld.near(request.mZone));
        PolicyServer one = near.get(mRandom.nextInt(near.size()));
        PolicyServer two = near.get(mRandom.nextInt(near.size()));
        PolicyServer server = inFlight(request, two) < inFlight(request, one) ? two : one;
        mInFlight.merge(key(request, server), 1, Integer::sum);
        long delay = mWorld.mDeployment.delayNanos(request.mZone, server.mZone);
        mWorld.mEvents.after(
                delay,
                () ->
                        server.submit(
                                request.mWorkNanos,
                                () -> {
                                    mWorld.answered(request, delay + PolicyDeployment.CLIENT_NANOS);
                                    mWorld.mEvents.after(
                                            delay,
                                            () ->
                                                    mInFlight.merge(
                                                            key(request, server),
                                                            -1,
                                                            Integer::sum));
                                }));
    }

    private int inFlight(PolicyRequest request, PolicyServer server) {
        return mInFlight.getOrDefault(key(request, server), 0);
    }

    private static String key(PolicyRequest request, PolicyServer server) {
        return request.mHost + " " + server.mName;
    }
}
