package org.redwingladder.bench;

import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Describes a run that is repeated with several policies.
 *
 * @param deployment the deployment
 * @param service the service
 * @param seed the seed of requests and faults
 * @param workload the requests
 * @param faults plans what happens to backend servers and sites
 */
record PolicyRun(
        PolicyDeployment deployment,
        PolicyDeployment.Service service,
        long seed,
        PolicyWorkload workload,
        BiConsumer<PolicyWorld, PolicyRouter> faults) {

    /** Time after the last arrival in which answers may still come. */
    private static final double TAIL_SECONDS = 21;

    PolicyStats with(Function<PolicyWorld, PolicyRouter> policy) {
        PolicyWorld world = new PolicyWorld(deployment, service, seed);
        PolicyRouter router = policy.apply(world);
        world.plan(workload, router);
        faults.accept(world, router);
        world.mEvents.runUntil((long) ((workload.seconds() + TAIL_SECONDS) * PolicyWorld.SECOND));
        return new PolicyStats(world);
    }

    PolicyStats naive() {
        return with(PolicyNaive::new);
    }

    PolicyStats ours(PolicyOptions options) {
        return with(world -> new PolicyOurs(world, options));
    }

    PolicyStats oracle(int longSlots) {
        return with(world -> new PolicyOracle(world, longSlots));
    }

    String label() {
        return deployment.name() + "/" + service.name();
    }
}
