package org.redwingladder.bench;

import java.util.function.Predicate;
import org.redwingladder.routing.WorkClass;

/** Measures a large move of traffic to backend servers with cold caches. */
final class PolicyCold {
    private static final double SECONDS = 45;
    private static final double MOVE_AT = 15;

    /** The load as a share of the slots that are there before the move. */
    private static final double BEFORE = 0.5;

    private static final double AFTER = 0.85;

    /** Cold work takes five times as long; a server is warm after some hundred requests. */
    private static final double COLD_FACTOR = 5;

    private static final double WARM_AFTER = 200;
    private static final Predicate<PolicyRequest> MOVED =
            PolicyStats.sent(WorkClass.SHORT, MOVE_AT, SECONDS);

    private final PolicyTable mTable;
    private final long mSeed;

    PolicyCold(PolicyTable table, long seed) {
        mTable = table;
        mSeed = seed;
    }

    void measure(PolicyDeployment deployment) {
        for (PolicyDeployment.Service service : deployment.services()) {
            double old = 1 - (double) PolicyFaults.COLD_SERVERS / service.servers();
            PolicyWorkload load =
                    PolicyWorkload.steady(SECONDS, AFTER * old, 0)
                            .withShortLoad(t -> (t < MOVE_AT ? BEFORE : AFTER) * old);
            PolicyRun run =
                    new PolicyRun(
                            deployment,
                            service,
                            mSeed,
                            load,
                            (world, router) ->
                                    PolicyFaults.addCold(
                                            world, MOVE_AT, COLD_FACTOR, WARM_AFTER, router));
            PolicyRun steady =
                    new PolicyRun(
                            deployment,
                            service,
                            mSeed,
                            PolicyWorkload.steady(SECONDS, AFTER * old, 0),
                            (world, router) -> {});
            double normal = p99(steady.ours(PolicyOptions.standard()));
            double ours = p99(run.ours(PolicyOptions.standard()));
            double naive = p99(run.naive());
            String name = run.label() + " cold caches p99 ms, ";
            mTable.atMost(name + "ours/steady", naive, ours, normal, ours / normal, 2);
            double without = p99(run.ours(PolicyOptions.standard().withRamp(0)));
            mTable.row(
                    name + "without ramp (ours = with)", without, ours, Double.NaN, without / ours);
        }
    }

    private static double p99(PolicyStats stats) {
        return stats.latencyMillis(0.99, MOVED);
    }
}
