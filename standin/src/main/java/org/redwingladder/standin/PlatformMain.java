package org.redwingladder.standin;

import java.io.IOException;
import java.util.Collections;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs a platform stand-in until the process is terminated. */
public final class PlatformMain {
    @Option(name = "--ip", usage = "address to listen on")
    private String mIp = "127.0.0.1";

    @Option(name = "--port", usage = "port of the first listener; 0 selects an ephemeral port")
    private int mPort;

    @Option(
            name = "--listeners",
            usage = "number of listeners; all but the first use ephemeral ports")
    private int mListeners = 1;

    @Option(name = "--hosts-lag-millis", usage = "lag of the host list in milliseconds")
    private long mHostsLagMillis = 2_000;

    @Option(name = "--reads-per-second", usage = "maximum reads per second; 0 for no limit")
    private int mReadsPerSecond = 2_000;

    @Option(name = "--writes-per-second", usage = "maximum writes per second; 0 for no limit")
    private int mWritesPerSecond = 400;

    private PlatformMain() {}

    /**
     * Starts the platform and prints {@code platform: listening on ip:port...} when it is ready.
     */
    public static void main(String[] args) throws InterruptedException {
        PlatformMain main = new PlatformMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
            main.run();
        } catch (CmdLineException | IllegalArgumentException e) {
            System.err.println("platform: " + e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        } catch (IOException e) {
            System.err.println("platform: " + e.getMessage());
            System.exit(1);
        }
    }

    private void run() throws IOException, InterruptedException {
        var ports = new java.util.ArrayList<>(Collections.nCopies(Math.max(1, mListeners), 0));
        ports.set(0, mPort);
        PlatformOptions options =
                new PlatformOptions(mIp, ports, mHostsLagMillis, mReadsPerSecond, mWritesPerSecond);
        try (PlatformServer server = PlatformServer.start(options)) {
            System.out.println("platform: listening on " + String.join(" ", server.addresses()));
            new CountDownLatch(1).await();
        }
    }
}
