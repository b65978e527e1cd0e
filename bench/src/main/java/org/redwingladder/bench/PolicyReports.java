package org.redwingladder.bench;

import org.jspecify.annotations.Nullable;
import org.redwingladder.routing.WorkClass;

/** Measures the tail under stragglers while load reports are late, missing or wrong. */
final class PolicyReports {
    private static final double SECONDS = 30;

    private final PolicyTable mTable;
    private final long mSeed;

    PolicyReports(PolicyTable table, long seed) {
        mTable = table;
        mSeed = seed;
    }

    /** Names how load reports fail. */
    enum Fault {
        NONE,
        MISSING,
        LYING
    }

    void measure(PolicyDeployment deployment, PolicyPlot plot) {
        for (double lag : new double[] {0, 1, 5, 30}) {
            measure(deployment, "late by " + (int) lag + " s", lag, Fault.NONE, plot);
        }
        measure(deployment, "missing", 0, Fault.MISSING, null);
        measure(deployment, "lying", 0, Fault.LYING, null);
    }

    private void measure(
            PolicyDeployment deployment,
            String what,
            double lag,
            Fault fault,
            @Nullable PolicyPlot plot) {
        PolicyDeployment.Service service = deployment.services().get(0);
        PolicyRun run =
                new PolicyRun(
                        deployment,
                        service,
                        mSeed,
                        PolicyWorkload.steady(SECONDS, 0.7, 0),
                        (world, router) -> {
                            world.planStragglers(0.2, 10, SECONDS);
                            PolicyFaults.report(world, lag, fault, SECONDS, router);
                        });
        double byReport = p99(run.with(PolicyByReport::new));
        double ours = p99(run.ours(PolicyOptions.standard()));
        double oracle = p99(run.oracle(1));
        mTable.row(
                run.label() + " reports " + what + ", p99 ms (naive = least reported load)",
                byReport,
                ours,
                oracle,
                ours / oracle);
        if (plot != null) {
            plot.point("ours", lag, ours);
            plot.point("least reported load", lag, byReport);
            plot.point("oracle", lag, oracle);
        }
    }

    private static double p99(PolicyStats stats) {
        return stats.latencyMillis(0.99, PolicyStats.sent(WorkClass.SHORT, 5, SECONDS));
    }
}
