package org.redwingladder.standin;

import static java.util.Objects.requireNonNull;

import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs backend server stand-ins until the process is terminated. */
public final class BackendMain {
    @Option(
            name = "--config",
            metaVar = "FILE",
            required = true,
            usage = "JSON file {\"servers\":[...]}, see docs/backend.md")
    private @Nullable File mConfig;

    @Option(name = "--ip", usage = "address of the admin listener")
    private String mIp = "127.0.0.1";

    @Option(
            name = "--admin-port",
            usage = "port of the admin listener; 0 selects an ephemeral port")
    private int mAdminPort;

    private BackendMain() {}

    /** The contents of a configuration file. */
    record Config(List<BackendConfig> servers) {}

    /** Starts the servers and prints the address of each and of the admin listener. */
    public static void main(String[] args) throws InterruptedException {
        BackendMain main = new BackendMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
            main.run();
        } catch (CmdLineException e) {
            System.err.println("backend: " + e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        } catch (IOException e) {
            System.err.println("backend: " + e.getMessage());
            System.exit(1);
        }
    }

    private void run() throws IOException, InterruptedException {
        Config config = Json.MAPPER.readValue(requireNonNull(mConfig), Config.class);
        try (BackendGroup group = BackendGroup.start(config.servers(), mIp, mAdminPort)) {
            for (BackendServer server : group.servers()) {
                System.out.println(
                        "backend: " + server.name() + " listening on " + server.address());
            }
            System.out.println("backend: admin listening on " + group.adminAddress());
            new CountDownLatch(1).await();
        }
    }
}
