package org.redwingladder.bench;

import org.redwingladder.routing.WorkClass;

/** Measures a burst of three times the capacity for ten seconds. */
final class PolicyBurst {
    private static final double SECONDS = 40;
    private static final double BEGIN = 10;
    private static final double END = 20;
    private static final double LOAD = 0.7;
    private static final double BURST = 3;

    private final PolicyTable mTable;
    private final long mSeed;

    PolicyBurst(PolicyTable table, long seed) {
        mTable = table;
        mSeed = seed;
    }

    private PolicyRun run(PolicyDeployment deployment, PolicyDeployment.Service service) {
        PolicyWorkload load =
                PolicyWorkload.steady(SECONDS, LOAD, 0)
                        .withShortLoad(t -> t >= BEGIN && t < END ? BURST : LOAD);
        return new PolicyRun(deployment, service, mSeed, load, (world, router) -> {});
    }

    void measure(PolicyDeployment deployment) {
        for (PolicyDeployment.Service service : deployment.services()) {
            PolicyRun run = run(deployment, service);
            int slots = service.servers() * service.slots();
            PolicyStats naive = run.naive();
            PolicyStats ours = run.ours(PolicyOptions.standard());
            PolicyStats oracle = run.oracle(1);
            String name = run.label() + " burst ";
            double good = goodput(ours, slots);
            mTable.atLeast(
                    name + "useful work, % of capacity, ratio to capacity",
                    goodput(naive, slots),
                    good,
                    goodput(oracle, slots),
                    good / 100,
                    0.9);
            mTable.atMost(
                    name + "attempts per request",
                    naive.attemptsPerRequest(),
                    ours.attemptsPerRequest(),
                    1,
                    ours.attemptsPerRequest(),
                    1.1);
            mTable.row(
                    name + "p99 ms until a refusal",
                    naive.refusedMillis(0.99),
                    ours.refusedMillis(0.99),
                    oracle.refusedMillis(0.99),
                    Double.NaN);
            mTable.atMost(
                    name + "seconds after the end until p99 is normal",
                    secondsToNormal(naive),
                    secondsToNormal(ours),
                    secondsToNormal(oracle),
                    secondsToNormal(ours),
                    3);
        }
    }

    void takeAway(PolicyDeployment deployment) {
        PolicyDeployment.Service service = deployment.services().get(0);
        PolicyRun run = run(deployment, service);
        int slots = service.servers() * service.slots();
        PolicyStats with = run.ours(PolicyOptions.standard());
        PolicyStats atWill = run.ours(PolicyOptions.standard().withRetryAtWill());
        mTable.row(
                run.label() + " burst attempts per request without retry budget (ours = with)",
                atWill.attemptsPerRequest(),
                with.attemptsPerRequest(),
                Double.NaN,
                atWill.attemptsPerRequest() / with.attemptsPerRequest());
        PolicyStats endless = run.ours(PolicyStragglers.withoutWaitBound().withoutDeadlines());
        mTable.row(
                run.label() + " burst useful work % without deadline bound (ours = with)",
                goodput(endless, slots),
                goodput(with, slots),
                Double.NaN,
                goodput(endless, slots) / goodput(with, slots));
        PolicyStats longWaits = run.ours(PolicyStragglers.withoutWaitBound());
        mTable.row(
                run.label() + " burst seconds until normal without short bound (ours = with)",
                secondsToNormal(longWaits),
                secondsToNormal(with),
                Double.NaN,
                secondsToNormal(longWaits) / Math.max(0.1, secondsToNormal(with)));
    }

    void plot(PolicyDeployment deployment, PolicyPlot plot) {
        PolicyDeployment.Service service = deployment.services().get(0);
        PolicyRun run = run(deployment, service);
        int slots = service.servers() * service.slots();
        curve(plot, "naive", run.naive(), slots);
        curve(plot, "ours", run.ours(PolicyOptions.standard()), slots);
        PolicyStats endless = run.ours(PolicyStragglers.withoutWaitBound().withoutDeadlines());
        curve(plot, "without deadline bound", endless, slots);
        curve(plot, "oracle", run.oracle(1), slots);
    }

    private static void curve(PolicyPlot plot, String name, PolicyStats stats, int slots) {
        for (double t = 5; t < SECONDS - 5; t++) {
            plot.point(name, t, 100 * stats.workDone(WorkClass.SHORT, t, t + 1) / slots);
        }
    }

    private static double goodput(PolicyStats stats, int slots) {
        return 100 * stats.workDone(WorkClass.SHORT, BEGIN, END) / ((END - BEGIN) * slots);
    }

    /** Returns how long after the burst the p99 of a half second stays below twice the normal. */
    private static double secondsToNormal(PolicyStats stats) {
        double normal = stats.latencyMillis(0.99, PolicyStats.sent(WorkClass.SHORT, 2, BEGIN));
        double step = 0.5;
        double after = 0;
        for (double t = END; t < SECONDS - step; t += step) {
            double p99 = stats.latencyMillis(0.99, PolicyStats.sent(WorkClass.SHORT, t, t + step));
            if (p99 > 2 * normal) {
                after = t + step - END;
            }
        }
        return after;
    }
}
