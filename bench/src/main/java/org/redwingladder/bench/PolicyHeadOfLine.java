package org.redwingladder.bench;

import org.redwingladder.routing.SiteTuning;
import org.redwingladder.routing.WorkClass;

/** Measures how long short work waits behind long work that arrives above its own capacity. */
final class PolicyHeadOfLine {
    private static final double SECONDS = 60;
    private static final double FROM = 15;
    private static final double SHORT_LOAD = 0.5;
    private static final double LONG_LOAD = 0.8;

    private final PolicyTable mTable;
    private final long mSeed;

    PolicyHeadOfLine(PolicyTable table, long seed) {
        mTable = table;
        mSeed = seed;
    }

    private PolicyRun run(
            PolicyDeployment deployment, PolicyDeployment.Service service, double longLoad) {
        return new PolicyRun(
                deployment,
                service,
                mSeed,
                PolicyWorkload.steady(SECONDS, SHORT_LOAD, longLoad),
                (world, router) -> {});
    }

    void measure(PolicyDeployment deployment) {
        for (PolicyDeployment.Service service : deployment.services()) {
            PolicyRun with = run(deployment, service, LONG_LOAD);
            PolicyRun alone = run(deployment, service, 0);
            int slots = service.servers() * service.slots();
            PolicyStats ours = with.ours(PolicyOptions.standard());
            PolicyStats naive = with.naive();
            double oursAlone = wait(alone.ours(PolicyOptions.standard()));
            int oracleSlots = oracleSlots(with, wait(alone.oracle(0)), slots);
            PolicyStats oracle = with.oracle(oracleSlots);
            String name = with.label() + " head-of-line ";
            double our = wait(ours);
            mTable.atMost(
                    name + "p99 wait ms, with/without long",
                    wait(naive),
                    our,
                    wait(oracle),
                    our / oursAlone,
                    1.5);
            mTable.row(name + "p99 wait ms without long", Double.NaN, oursAlone, Double.NaN, 1);
            double left = 100 * (1 - SHORT_LOAD);
            mTable.atLeast(
                    name + "long work, % of all slots, ours/left over",
                    share(naive, slots),
                    share(ours, slots),
                    left,
                    share(ours, slots) / left,
                    0.9);
            mTable.atLeast(
                    name + "long work, % of all slots, ours/oracle that keeps the wait",
                    share(naive, slots),
                    share(ours, slots),
                    share(oracle, slots),
                    share(ours, slots) / share(oracle, slots),
                    0.9);
        }
    }

    /** Finds the most slots that long work may hold while short work keeps its wait. */
    private static int oracleSlots(PolicyRun run, double waitAlone, int slots) {
        int best = 1;
        double allowed = Math.max(1.5 * waitAlone, 1.5 * 2 * PolicyDeployment.LOCAL_NANOS / 1e6);
        int low = 1;
        int high = slots;
        while (low <= high) {
            int middle = (low + high) / 2;
            if (wait(run.oracle(middle)) <= allowed) {
                best = middle;
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return best;
    }

    /** Takes the reservation away, and the mechanism that adapts it. */
    void takeAway(PolicyDeployment deployment) {
        PolicyDeployment.Service service = deployment.services().get(2);
        PolicyRun run = run(deployment, service, LONG_LOAD);
        double with = wait(run.ours(PolicyOptions.standard()));
        line(run, "class reservation", with, wait(run.ours(withoutReservation())));
        PolicyOptions patient = PolicyOptions.standard().withoutPatience();
        line(run, "patience of the ingress", with, wait(run.ours(patient)));
        line(run, "adaptive reserve (66% only)", with, wait(run.ours(fixedReservation())));
    }

    private void line(PolicyRun run, String what, double with, double without) {
        mTable.row(
                run.label() + " head-of-line p99 wait ms without " + what + " (ours = with)",
                without,
                with,
                Double.NaN,
                without / with);
    }

    void plot(PolicyDeployment deployment, PolicyPlot plot) {
        PolicyDeployment.Service service = deployment.services().get(2);
        for (double load : new double[] {0, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2}) {
            PolicyRun run = run(deployment, service, load);
            plot.point("ours", 100 * load, wait(run.ours(PolicyOptions.standard())));
            plot.point("without reservation", 100 * load, wait(run.ours(withoutReservation())));
            plot.point("naive", 100 * load, wait(run.naive()));
        }
    }

    private static PolicyOptions withoutReservation() {
        return fixedReservation().withLongSlots(100);
    }

    private static PolicyOptions fixedReservation() {
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
                                t.maxWaitNanos(),
                                t.maxWaitServiceTimes(),
                                -1e9));
    }

    private static double wait(PolicyStats stats) {
        return stats.waitMillis(0.99, PolicyStats.sent(WorkClass.SHORT, FROM, SECONDS));
    }

    private static double share(PolicyStats stats, int slots) {
        return 100 * stats.workDone(WorkClass.LONG, FROM, SECONDS) / ((SECONDS - FROM) * slots);
    }
}
