package org.redwingladder.bench;

import org.redwingladder.routing.WorkClass;

/** Runs the policy bench. */
public final class PolicyBench {
    private PolicyBench() {}

    static PolicyOptions tuned() {
        String t = System.getenv("TUNE");
        if (t == null) return PolicyOptions.standard();
        double[] v =
                java.util.Arrays.stream(t.split(",")).mapToDouble(Double::parseDouble).toArray();
        return PolicyOptions.standard()
                .withTuning(
                        new org.redwingladder.routing.SiteTuning(
                                v[0],
                                v[1],
                                v[2],
                                (long) (v[3] * 1e6),
                                (long) (v[4] * 1e6),
                                (long) (v[5] * 1e6),
                                v[6],
                                v[7]));
    }

    /** Prints the table. */
    public static void main(String[] args) {
        for (PolicyDeployment d :
                new PolicyDeployment[] {PolicyDeployment.tabua(), PolicyDeployment.guild()}) {
            for (PolicyDeployment.Service s : d.services()) {
                PolicyRun run =
                        new PolicyRun(
                                d,
                                s,
                                1,
                                PolicyWorkload.steady(30, 0.7, 0),
                                (w, r) -> {
                                    w.planStragglers(0.2, 10, 30);
                                    if (r instanceof PolicyOurs o) {
                                        for (int i = 1; i < 300; i++) {
                                            w.mEvents.at(
                                                    i * 100_000_000L,
                                                    () -> {
                                                        for (int z = 0; z < 6; z++) {
                                                            o.site(z).sample();
                                                        }
                                                        if (System.getenv("SHOW") != null) {
                                                            StringBuilder b = new StringBuilder();
                                                            for (int z = 0; z < 6; z++)
                                                                b.append(o.site(z).show());
                                                            System.out.println(
                                                                    w.now() / 100000000 + " " + b);
                                                        }
                                                    });
                                        }
                                    }
                                });
                var of = PolicyStats.sent(WorkClass.SHORT, 5, 30);
                long t = System.nanoTime();
                PolicyStats n = run.naive();
                PolicyStats o = run.ours(tuned());
                PolicyStats x = run.oracle(1000);
                System.out.println(o.reasons() + o.tail(0.99, of));
                System.out.printf(
                        "%s | %.1f | %.1f | %.1f | fail %.2f %.2f %.2f | att %.3f extra %.2f | p50 %.1f %.1f p999 %.1f %.1f | %d reqs %d ms%n",
                        run.label(),
                        n.latencyMillis(.99, of),
                        o.latencyMillis(.99, of),
                        x.latencyMillis(.99, of),
                        n.failedPercent(of),
                        o.failedPercent(of),
                        x.failedPercent(of),
                        o.attemptsPerRequest(),
                        o.extraPercent(),
                        o.latencyMillis(.5, of),
                        x.latencyMillis(.5, of),
                        o.latencyMillis(.999, of),
                        x.latencyMillis(.999, of),
                        n.count(of),
                        (System.nanoTime() - t) / 1000000);
            }
        }
    }
}
