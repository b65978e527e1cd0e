package org.redwingladder.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.PrintStream;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs the daemon {@code redwingladderd}. */
public final class Main {
    static final int EXIT_OK = 0;
    static final int EXIT_FAILURE = 1;
    static final int EXIT_USAGE = 2;
    static final int EXIT_SECOND_SIGNAL = 130;

    @Option(name = "--config", usage = "configuration file", metaVar = "FILE", required = true)
    private @Nullable String mConfig;

    @Option(name = "--check", usage = "check the configuration file and exit")
    private boolean mCheck;

    @Option(name = "--help", usage = "print this help and exit", help = true)
    private boolean mHelp;

    private Main() {}

    static Main create() {
        return new Main();
    }

    /** Runs the program. */
    public static void main(String[] arguments) {
        int code = new Main().run(arguments, System.out, System.err);
        System.out.flush();
        System.err.flush();
        // Threads of libraries must not hold up the end of a planned stop.
        Runtime.getRuntime().halt(code);
    }

    int run(String[] arguments, PrintStream out, PrintStream err) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            err.println("redwingladderd: " + e.getMessage());
            usage(err);
            return EXIT_USAGE;
        }
        if (mHelp || mConfig == null) {
            usage(out);
            return EXIT_OK;
        }
        DaemonConfig config;
        try {
            config = ConfigReader.read(Path.of(mConfig), System::currentTimeMillis);
        } catch (ConfigException e) {
            e.faults().forEach(fault -> err.println("redwingladderd: " + fault));
            return EXIT_USAGE;
        }
        if (mCheck) {
            out.println("redwingladderd: " + mConfig + " is valid");
            return EXIT_OK;
        }
        return serve(config, out, err);
    }

    private static int serve(DaemonConfig config, PrintStream out, PrintStream err) {
        JsonLog.install(err);
        FluentLogger log = FluentLogger.forEnclosingClass();
        try {
            Daemon daemon = Daemon.start(config);
            Signals.handle("TERM", () -> signalled(daemon, err));
            Signals.handle("INT", () -> signalled(daemon, err));
            out.println("redwingladderd: listening on " + daemon.addresses());
            out.flush();
            boolean planned = daemon.ended().join();
            daemon.close();
            return planned ? EXIT_OK : EXIT_FAILURE;
        } catch (Exception e) {
            log.atSevere().log("supervisor: the process cannot run: %s", e);
            return EXIT_FAILURE;
        }
    }

    private static void signalled(Daemon daemon, PrintStream err) {
        if (!daemon.stop("a signal was received")) {
            err.flush();
            Runtime.getRuntime().halt(EXIT_SECOND_SIGNAL);
        }
    }

    private static void usage(PrintStream out) {
        out.println("usage: redwingladderd --config FILE [--check]");
        // A parser that has parsed nothing shows the defaults and not the values of this run.
        new CmdLineParser(new Main()).printUsage(out);
    }
}
