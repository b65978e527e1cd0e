package org.redwingladder.bench;

import static java.util.Objects.requireNonNull;

/**
 * Knows all service times, speeds and queues, but pays the delays between zones: each request goes
 * to the backend server, of all regions, from which its answer comes back first.
 */
final class PolicyNearOracle implements PolicyRouter {
    private final PolicyWorld mWorld;

    PolicyNearOracle(PolicyWorld world) {
        mWorld = world;
    }

    @Override
    public void arrived(PolicyRequest request) {
        mWorld.mAttempts++;
        PolicyServer best = null;
        double bestEnd = 0;
        for (PolicyServer server : mWorld.mServers) {
            if (!server.mPresent) {
                continue;
            }
            long delay = mWorld.mDeployment.delayNanos(request.mZone, server.mZone);
            double wait = Math.max(0, server.startsInNanos() - delay);
            double end = 2 * delay + wait + request.mWorkNanos * server.slowFactor();
            if (best == null || end < bestEnd) {
                best = server;
                bestEnd = end;
            }
        }
        PolicyServer server = requireNonNull(best);
        long delay = mWorld.mDeployment.delayNanos(request.mZone, server.mZone);
        long back = delay + PolicyDeployment.CLIENT_NANOS;
        mWorld.mEvents.after(
                delay,
                () -> server.submit(request.mWorkNanos, () -> mWorld.answered(request, back)));
    }
}
