package org.redwingladder.emulator;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Prints what the clients of a described deployment get, beside simpler and all-knowing hosts. */
public final class Emulator {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    @Argument(metaVar = "SITE", required = true, usage = "JSON description of a deployment")
    private String mSite = "";

    @Option(name = "--seed", metaVar = "N", usage = "seed of the first day")
    private long mSeed = 1;

    @Option(name = "--days", metaVar = "N", usage = "days that are played, with following seeds")
    private int mDays = 1;

    @Option(name = "--without", metaVar = "MECHANISM", usage = "takes a mechanism away")
    private List<Strategy.Mechanism> mWithout = new ArrayList<>();

    @Option(name = "--each", usage = "plays the day without each of the mechanisms in turn")
    private boolean mEach;

    @Option(name = "--rows", usage = "prints each kind of request and each zone")
    private boolean mRows;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean mHelp;

    private Emulator() {}

    /** Runs the emulator and ends the process with its exit code. */
    public static void main(String[] arguments) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        System.exit(run(arguments, out, System.err));
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) {
        Emulator emulator = new Emulator();
        CmdLineParser parser = new CmdLineParser(emulator);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            err.println("emulate: " + e.getMessage());
            parser.printUsage(err);
            return EXIT_USAGE;
        }
        if (emulator.mHelp) {
            parser.printUsage(out);
            return EXIT_OK;
        }
        try {
            emulator.print(EmulatedSite.read(Path.of(emulator.mSite)), out);
            return EXIT_OK;
        } catch (IOException | IllegalArgumentException e) {
            err.println("emulate: " + emulator.mSite + ": " + e.getMessage());
            return EXIT_FAILURE;
        }
    }

    private void print(EmulatedSite site, PrintStream out) {
        out.printf(Locale.ROOT, "%s, %d s, seeds from %d%n", site.name(), site.seconds(), mSeed);
        Set<Strategy.Mechanism> without = EnumSet.noneOf(Strategy.Mechanism.class);
        without.addAll(mWithout);
        out.printf(
                Locale.ROOT,
                "%-28s %8s %8s %8s %8s %8s %8s%n",
                "hosts",
                "served",
                "worst",
                "late",
                "refused",
                "failed",
                "extra");
        String name = without.isEmpty() ? "ours" : "ours without " + without;
        days(name, site, new Strategy.Ours(without), out);
        days("naive", site, new Strategy.Naive(), out);
        days("oracle", site, new Strategy.Oracle(), out);
        if (mEach) {
            for (Strategy.Mechanism mechanism : Strategy.Mechanism.values()) {
                String label = "without " + mechanism.name().toLowerCase(Locale.ROOT);
                days(label, site, new Strategy.Ours(EnumSet.of(mechanism)), out);
            }
        }
    }

    private void days(String name, EmulatedSite site, Strategy strategy, PrintStream out) {
        double[] sums = new double[6];
        List<String> rows = new ArrayList<>();
        for (int day = 0; day < mDays; day++) {
            Results results = Emulation.play(site, strategy, mSeed + day);
            sums[0] += results.all().served();
            sums[1] += results.worstZone();
            sums[2] += results.all().late();
            sums[3] += results.all().refused();
            sums[4] += results.all().failed();
            sums[5] += results.extraSends();
            rows.addAll(results.rows(name));
        }
        out.printf(
                Locale.ROOT,
                "%-28s %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f%n",
                name,
                sums[0] / mDays,
                sums[1] / mDays,
                sums[2] / mDays,
                sums[3] / mDays,
                sums[4] / mDays,
                sums[5] / mDays);
        if (mRows) {
            out.println(Results.head());
            rows.forEach(out::println);
        }
    }
}
