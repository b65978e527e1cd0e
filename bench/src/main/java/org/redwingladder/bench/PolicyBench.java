package org.redwingladder.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Compares the decision logic with naive choices and with an oracle, in virtual time. */
public final class PolicyBench {
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

    private boolean wanted(String scenario) {
        return mOnly.isEmpty() || mOnly.equals(scenario);
    }

    private void run() throws IOException {
        PolicyTable table = new PolicyTable();
        for (PolicyDeployment deployment :
                List.of(PolicyDeployment.tabua(), PolicyDeployment.guild())) {
            if (wanted("stragglers")) {
                stragglers(table, deployment);
            }
            if (wanted("head-of-line")) {
                headOfLine(table, deployment);
            }
            if (wanted("burst")) {
                burst(table, deployment);
            }
            if (wanted("region")) {
                new PolicyRegionLost(table, mSeed).measure(deployment);
            }
            if (wanted("cold")) {
                new PolicyCold(table, mSeed).measure(deployment);
            }
            if (wanted("reports")) {
                reports(table, deployment);
            }
        }
        table.finish();
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
