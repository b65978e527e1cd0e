package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the processes of a demo and terminates them on close. */
final class DemoCluster implements AutoCloseable {
    private static final long STARTUP_TIMEOUT_MILLIS = 60_000;
    private static final long READY_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final Pattern PLATFORM_ADDRESS =
            Pattern.compile("platform: listening on (\\S+)");
    private static final Pattern BACKEND_ADMIN_ADDRESS =
            Pattern.compile("backend: admin listening on (\\S+)");
    private static final Pattern BACKEND_ADDRESS =
            Pattern.compile("backend: (\\S+) listening on (\\S+)");
    private static final Pattern DAEMON_ADDRESSES =
            Pattern.compile("redwingladderd: listening on client (\\S+ peer \\S+ operator \\S+)");

    private final Path mRoot;
    private final Path mDirectory;
    private final DemoHttpClient mHttp;
    private final List<DemoProcess> mProcesses = new ArrayList<>();
    private final List<Host> mHosts = new ArrayList<>();
    private final Map<String, String> mServerAddresses = new LinkedHashMap<>();
    private final Map<String, String> mServerAdmins = new LinkedHashMap<>();
    private String mPlatform = "";
    private boolean mClosed;

    /**
     * A running entry host.
     *
     * @param name the host's name
     * @param zone its availability zone
     * @param process its process
     * @param clientAddress the address of its client listener
     * @param operatorAddress the address of its operator listener
     */
    record Host(
            String name,
            String zone,
            DemoProcess process,
            String clientAddress,
            String operatorAddress) {}

    /**
     * The result of a tool command.
     *
     * @param exitCode the exit code
     * @param output the combined standard output and standard error
     */
    record ToolResult(int exitCode, String output) {}

    DemoCluster(Path root, Path directory, DemoHttpClient http) {
        mRoot = root;
        mDirectory = directory;
        mHttp = http;
    }

    List<Host> hosts() {
        return mHosts;
    }

    String platform() {
        return mPlatform;
    }

    Map<String, String> serverAddresses() {
        return mServerAddresses;
    }

    /** Queries an admin operation of a backend server through the admin listener of its process. */
    JsonNode queryServer(String server, String operation)
            throws InterruptedException, DemoException {
        return mHttp.get(
                mServerAdmins.getOrDefault(server, ""),
                "/servers/" + server + "/admin/" + operation);
    }

    void injectServer(String server, String faults) throws InterruptedException, DemoException {
        mHttp.post(
                mServerAdmins.getOrDefault(server, ""),
                "/servers/" + server + "/admin/faults",
                faults);
    }

    void injectPlatform(String faults) throws InterruptedException, DemoException {
        mHttp.post(mPlatform, "/admin/faults", faults);
    }

    /** Starts the platform and the backend servers. */
    void startStandins(DemoDeployment deployment)
            throws IOException, InterruptedException, DemoException {
        DemoProcess platform =
                start("platform", standinCommand("PlatformMain", 64, List.of("--port", "0")));
        mPlatform = platform.awaitLine(PLATFORM_ADDRESS, STARTUP_TIMEOUT_MILLIS);
        List<DemoProcess> backends = new ArrayList<>();
        for (String region : new TreeSet<>(deployment.regionsByZone().values())) {
            Path file = write("backends-" + region, deployment.backendConfig(region));
            List<String> arguments = List.of("--config", file.toString());
            backends.add(
                    start("backends-" + region, standinCommand("BackendMain", 192, arguments)));
        }
        for (DemoProcess process : backends) {
            String admin = process.awaitLine(BACKEND_ADMIN_ADDRESS, STARTUP_TIMEOUT_MILLIS);
            Matcher matcher = BACKEND_ADDRESS.matcher(process.output());
            while (matcher.find()) {
                if (!matcher.group(1).equals("admin")) {
                    mServerAddresses.put(matcher.group(1), matcher.group(2));
                    mServerAdmins.put(matcher.group(1), admin);
                }
            }
        }
    }

    /** Starts all entry hosts. */
    void startHosts(DemoDeployment deployment)
            throws IOException, InterruptedException, DemoException {
        List<ObjectNode> configs = deployment.hosts(mPlatform);
        List<DemoProcess> processes = new ArrayList<>();
        for (ObjectNode config : configs) {
            String name = config.path("host").asText();
            Path file = write(name, config);
            processes.add(start(name, daemonCommand(file)));
        }
        for (int i = 0; i < configs.size(); i++) {
            DemoProcess process = processes.get(i);
            String[] addresses =
                    process.awaitLine(DAEMON_ADDRESSES, STARTUP_TIMEOUT_MILLIS).split(" ");
            mHosts.add(
                    new Host(
                            configs.get(i).path("host").asText(),
                            configs.get(i).path("zone").asText(),
                            process,
                            addresses[0],
                            addresses[4]));
        }
    }

    /** Waits until every entry host is ready with the settings version {@code version}. */
    void awaitReady(long version) throws InterruptedException, DemoException {
        long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        List<Host> waiting = new ArrayList<>(mHosts);
        while (!waiting.isEmpty()) {
            waiting.removeIf(host -> isReady(host, version));
            if (System.currentTimeMillis() > deadline) {
                Host first = waiting.get(0);
                throw new DemoException(
                        waiting.size()
                                + " entry hosts are not ready, such as "
                                + first.name()
                                + ": "
                                + status(first).map(s -> s.path("reasons").toString()).orElse(""));
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private boolean isReady(Host host, long version) {
        try {
            return status(host)
                    .filter(status -> status.path("ready").asBoolean())
                    .filter(status -> status.path("settingsVersion").asLong() >= version)
                    .isPresent();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    Optional<JsonNode> status(Host host) throws InterruptedException {
        return mHttp.find(host.operatorAddress(), "/v1/status");
    }

    /** Starts the tool without waiting for it. */
    DemoProcess startTool(String name, List<String> arguments) throws IOException {
        List<String> command = javaCommand(List.of("-Xmx512m", "-XX:+UseSerialGC", "-Xshare:auto"));
        command.addAll(List.of("-cp", classPath("tool"), "org.redwingladder.tool.ToolMain"));
        command.addAll(arguments);
        return start(name, command);
    }

    /** Runs a tool command and waits until it exits. */
    ToolResult runTool(String name, List<String> arguments)
            throws IOException, InterruptedException, DemoException {
        DemoProcess process = startTool(name, arguments);
        int code =
                process.exitCode(STARTUP_TIMEOUT_MILLIS)
                        .orElseThrow(() -> new DemoException(name + " did not exit in time"));
        return new ToolResult(code, process.output().strip());
    }

    Path write(String name, JsonNode content) throws IOException {
        Path file = mDirectory.resolve(name + ".json");
        Files.writeString(file, content.toPrettyString());
        return file;
    }

    private synchronized DemoProcess start(String name, List<String> command) throws IOException {
        if (mClosed) {
            throw new IOException("the demo is shutting down");
        }
        DemoProcess process = new DemoProcess(name, mDirectory, command);
        mProcesses.add(process);
        return process;
    }

    private List<String> standinCommand(String main, int megabytes, List<String> arguments) {
        List<String> command = javaCommand(List.of("-Xmx" + megabytes + "m", "-XX:+UseSerialGC"));
        command.addAll(List.of("-XX:TieredStopAtLevel=1", "-Xshare:auto"));
        command.addAll(List.of("-cp", classPath("standin"), "org.redwingladder.standin." + main));
        command.addAll(arguments);
        return command;
    }

    /** Uses small memory limits, since all entry hosts of the demo share one machine. */
    private List<String> daemonCommand(Path config) {
        List<String> command = javaCommand(List.of("-Xms16m", "-Xmx64m", "-Xss512k"));
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto"));
        command.addAll(List.of("-XX:ReservedCodeCacheSize=32m", "-XX:MaxDirectMemorySize=24m"));
        command.addAll(List.of("-cp", classPath("daemon"), "org.redwingladder.daemon.Main"));
        command.addAll(List.of("--config", config.toString()));
        return command;
    }

    private static List<String> javaCommand(List<String> options) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        return command;
    }

    private String classPath(String module) {
        Path target = mRoot.resolve(module).resolve("target");
        return target.resolve(module + "-0.1.0-SNAPSHOT.jar")
                + File.pathSeparator
                + target.resolve("lib").resolve("*");
    }

    /** Kills all processes started by this cluster that are still running. */
    @Override
    public synchronized void close() {
        mClosed = true;
        mProcesses.forEach(DemoProcess::kill);
    }
}
