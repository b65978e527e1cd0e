package org.redwingladder.bench;

import java.util.function.Predicate;
import org.redwingladder.routing.SiteTuning;
import org.redwingladder.routing.WorkClass;

/** Measures the tail while a fifth of the backend servers is ten times slower for spells. */
final class PolicyStragglers {
    private static final double SECONDS = 40;
    private static final double LOAD = 0.7;
    private static final double NEVER = 1e9;
    private static final double[] QUANTILES = {0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999};
    private static final Predicate<PolicyRequest> MEASURED =
            PolicyStats.sent(WorkClass.SHORT, 5, SECONDS);

    private final PolicyTable mTable;
    private final long mSeed;

    PolicyStragglers(PolicyTable table, long seed) {
        mTable = table;
        mSeed = seed;
    }

    static PolicyRun run(PolicyDeployment deployment, PolicyDeployment.Service service, long seed) {
        return new PolicyRun(
                deployment,
                service,
                seed,
                PolicyWorkload.steady(SECONDS, LOAD, 0),
                (world, router) -> world.planStragglers(0.2, 10, SECONDS));
    }

    void measure(PolicyDeployment deployment) {
        for (PolicyDeployment.Service service : deployment.services()) {
            PolicyRun run = run(deployment, service, mSeed);
            PolicyStats ours = run.ours(PolicyOptions.standard());
            double naive = p99(run.naive());
            double oracle = p99(run.oracle(1));
            double near = p99(run.with(PolicyNearOracle::new));
            String name = run.label() + " stragglers ";
            double our = p99(ours);
            mTable.atLeast(name + "p99 ms, naive/ours", naive, our, oracle, naive / our, 5);
            mTable.atMost(name + "p99 ms, ours/oracle", naive, our, oracle, our / oracle, 1.5);
            mTable.row(name + "p99 ms, ours/oracle with delays", naive, our, near, our / near);
            double extra = ours.extraPercent();
            mTable.atMost(name + "extra work %", Double.NaN, extra, 0, extra, 5);
            double failed = ours.failedPercent(MEASURED);
            mTable.row(name + "no useful answer %", Double.NaN, failed, 0, Double.NaN);
        }
    }

    /** Takes one mechanism away at a time; the ratio is without over with. */
    void takeAway(PolicyDeployment deployment, PolicyPlot plot) {
        PolicyDeployment.Service service = deployment.services().get(0);
        PolicyRun run = run(deployment, service, mSeed);
        PolicyStats full = run.ours(PolicyOptions.standard());
        curve(plot, "ours", full);
        without(run, "ejection", full, withoutEjection(), plot);
        without(run, "hedging", full, withoutHedging(), plot);
        without(run, "waits told by sites", full, withoutLoads(), plot);
        without(run, "short bound of waits", full, withoutWaitBound(), plot);
        PolicyOptions patient = PolicyOptions.standard().withoutPatience();
        without(run, "patience of the ingress", full, patient, plot);
        PolicyStats hosts = run.with(PolicyHosts::new);
        line(run, "owner (each host by itself, two choices)", full, hosts);
        curve(plot, "two choices by hosts", hosts);
        curve(plot, "oracle", run.oracle(1));
    }

    private void without(
            PolicyRun run, String what, PolicyStats full, PolicyOptions less, PolicyPlot plot) {
        PolicyStats stats = run.ours(less);
        line(run, what, full, stats);
        curve(plot, "without " + what, stats);
    }

    private void line(PolicyRun run, String what, PolicyStats full, PolicyStats less) {
        double with = p99(full);
        double without = p99(less);
        String name = run.label() + " stragglers without " + what + " (ours = with) ";
        mTable.row(name + "p99 ms", without, with, Double.NaN, without / with);
        double rare = full.latencyMillis(0.999, MEASURED);
        double rareWithout = less.latencyMillis(0.999, MEASURED);
        mTable.row(name + "p99.9 ms", rareWithout, rare, Double.NaN, rareWithout / rare);
    }

    private static void curve(PolicyPlot plot, String name, PolicyStats stats) {
        for (double quantile : QUANTILES) {
            double nines = -Math.log10(1 - quantile);
            plot.point(name, nines, stats.latencyMillis(quantile, MEASURED));
        }
    }

    private static double p99(PolicyStats stats) {
        return stats.latencyMillis(0.99, MEASURED);
    }

    static PolicyOptions withoutEjection() {
        SiteTuning t = SiteTuning.standard();
        return PolicyOptions.standard()
                .withTuning(
                        new SiteTuning(
                                t.hedgeQuantile(),
                                t.hedgeDelayFactor(),
                                t.extraAttemptsPercent(),
                                NEVER,
                                t.baseEjectionNanos(),
                                t.maxEjectionNanos(),
                                t.maxWaitNanos(),
                                t.maxWaitServiceTimes(),
                                t.reserveFactor()));
    }

    static PolicyOptions withoutHedging() {
        SiteTuning t = SiteTuning.standard();
        return PolicyOptions.standard()
                .withTuning(
                        new SiteTuning(
                                t.hedgeQuantile(),
                                NEVER,
                                t.extraAttemptsPercent(),
                                t.ejectionThreshold(),
                                t.baseEjectionNanos(),
                                t.maxEjectionNanos(),
                                t.maxWaitNanos(),
                                t.maxWaitServiceTimes(),
                                t.reserveFactor()));
    }

    static PolicyOptions withoutWaitBound() {
        SiteTuning t = SiteTuning.standard();
        return PolicyOptions.standard()
                .withTuning(
                        new SiteTuning(
                                t.hedgeQuantile(),
                                t.hedgeDelayFactor(),
                                t.extraAttemptsPercent(),
                                t.ejectionThreshold(),
                                t.baseEjectionNanos(),
                                t.maxEjectionNanos(),
                                Long.MAX_VALUE / 4,
                                t.maxWaitServiceTimes(),
                                t.reserveFactor()));
    }

    static PolicyOptions withoutLoads() {
        return PolicyOptions.standard().withoutLoads();
    }
}
