package org.redwingladder.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.PrintStream;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The entry point of the daemon {@code redwingladderd}. */
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

    /** Runs the daemon and exits with its exit code. */
    public static void main(String[] arguments) {
        int code = new Main().run(arguments, System.out, System.err);
        System.out.flush();
        System.err.flush();
        // Halts without waiting for threads of libraries, which could delay the exit.
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
        JsonLogFormatter.install(err);
        FluentLogger log = FluentLogger.forEnclosingClass();
        try {
            Daemon daemon = Daemon.start(config);
            Signals.handle("TERM", () -> onSignal(daemon, err));
            Signals.handle("INT", () -> onSignal(daemon, err));
            out.println("redwingladderd: listening on " + daemon.addresses());
            out.flush();
            boolean succeeded = daemon.ended().join();
            daemon.close();
            return succeeded ? EXIT_OK : EXIT_FAILURE;
        } catch (Exception e) {
            log.atSevere().log("supervisor: the daemon failed to start: %s", e);
            return EXIT_FAILURE;
        }
    }

    /** Starts a graceful shutdown on the first signal and exits at once on the second. */
    private static void onSignal(Daemon daemon, PrintStream err) {
        if (!daemon.stop("a signal was received")) {
            err.flush();
            Runtime.getRuntime().halt(EXIT_SECOND_SIGNAL);
        }
    }

    private static void usage(PrintStream out) {
        out.println("usage: redwingladderd --config FILE [--check]");
        // A new parser prints the default values instead of the arguments of this run.
        new CmdLineParser(new Main()).printUsage(out);
    }
}
