package org.redwingladder.bench;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Compares the decision logic with naive choices and with an oracle, in virtual time. */
public final class PolicyBench {
    private static final int THREADS = 6;

    @Option(name = "--seed", usage = "seed of requests and faults")
    private long mSeed = 1;

    @Option(name = "--only", usage = "stragglers, head-of-line, burst, region, cold or reports")
    private String mOnly = "";

    @Option(name = "--plots", usage = "directory to write the plots to")
    private String mPlots = "";

    @Option(name = "--help", help = true, usage = "print this text")
    private boolean mHelp;

    private PolicyBench() {}

    /**
     * Prints the table.
     *
     * @throws IOException if a plot cannot be written
     */
    public static void main(String[] args) throws IOException {
        PolicyBench bench = new PolicyBench();
        CmdLineParser parser = new CmdLineParser(bench);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        if (bench.mHelp) {
            parser.printUsage(System.out);
            return;
        }
        bench.run();
    }

    /** Measures one scenario of one deployment. */
    private interface Scenario {
        void measure(PolicyTable table, PolicyDeployment deployment) throws IOException;
    }

    private void run() throws IOException {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        scenarios.put("stragglers", this::stragglers);
        scenarios.put("head-of-line", this::headOfLine);
        scenarios.put("burst", this::burst);
        scenarios.put("region", (table, d) -> new PolicyRegionLost(table, mSeed).measure(d));
        scenarios.put("cold", (table, d) -> new PolicyCold(table, mSeed).measure(d));
        scenarios.put("reports", this::reports);
        if (!mOnly.isEmpty()) {
            scenarios.keySet().retainAll(List.of(mOnly));
        }
        System.out.println("name | naive | ours | oracle | ratio");
        List<String> missed = new ArrayList<>();
        // Runs share nothing, so that their order in time does not change a figure.
        try (ExecutorService threads = Executors.newFixedThreadPool(THREADS)) {
            List<Future<PolicyTable>> tables = new ArrayList<>();
            for (PolicyDeployment deployment :
                    List.of(PolicyDeployment.tabua(), PolicyDeployment.guild())) {
                for (Scenario scenario : scenarios.values()) {
                    tables.add(threads.submit(() -> measured(scenario, deployment)));
                }
            }
            for (Future<PolicyTable> table : tables) {
                table.get().lines().forEach(System.out::println);
                missed.addAll(table.get().missed());
            }
        } catch (ExecutionException e) {
            throw new IOException("a scenario failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
        System.out.println();
        System.out.println("short of the aim: " + (missed.isEmpty() ? "none" : missed.size()));
        missed.forEach(System.out::println);
    }

    private static PolicyTable measured(Scenario scenario, PolicyDeployment deployment)
            throws IOException {
        PolicyTable table = new PolicyTable();
        scenario.measure(table, deployment);
        return table;
    }

    private void stragglers(PolicyTable table, PolicyDeployment deployment) throws IOException {
        PolicyStragglers stragglers = new PolicyStragglers(table, mSeed);
        stragglers.measure(deployment);
        PolicyPlot plot =
                new PolicyPlot(
                        "Tail under stragglers, " + deployment.services().get(0).name(),
                        "nines of the quantile (2 = p99, 3 = p99.9)",
                        "latency, ms",
                        true);
        stragglers.takeAway(deployment, plot);
        write(plot, deployment, "stragglers");
    }

    private void headOfLine(PolicyTable table, PolicyDeployment deployment) throws IOException {
        PolicyHeadOfLine headOfLine = new PolicyHeadOfLine(table, mSeed);
        headOfLine.measure(deployment);
        headOfLine.takeAway(deployment);
        PolicyPlot plot =
                new PolicyPlot(
                        "Wait of short work, " + deployment.services().get(2).name(),
                        "long work that arrives, % of all slots",
                        "p99 wait, ms",
                        true);
        if (!mPlots.isEmpty()) {
            headOfLine.plot(deployment, plot);
        }
        write(plot, deployment, "head-of-line");
    }

    private void burst(PolicyTable table, PolicyDeployment deployment) throws IOException {
        PolicyBurst burst = new PolicyBurst(table, mSeed);
        burst.measure(deployment);
        burst.takeAway(deployment);
        PolicyPlot plot =
                new PolicyPlot(
                        "Goodput through a burst, " + deployment.services().get(0).name(),
                        "seconds; the burst is from 10 to 20",
                        "useful work, % of capacity",
                        false);
        if (!mPlots.isEmpty()) {
            burst.plot(deployment, plot);
        }
        write(plot, deployment, "burst");
    }

    private void reports(PolicyTable table, PolicyDeployment deployment) throws IOException {
        PolicyPlot plot =
                new PolicyPlot(
                        "Tail against late load reports, " + deployment.services().get(0).name(),
                        "seconds that reports are late",
                        "p99, ms",
                        true);
        new PolicyReports(table, mSeed).measure(deployment, plot);
        write(plot, deployment, "reports");
    }

    private void write(PolicyPlot plot, PolicyDeployment deployment, String name)
            throws IOException {
        if (!mPlots.isEmpty()) {
            plot.write(Path.of(mPlots, name + "-" + deployment.name() + ".svg"));
        }
    }
}
