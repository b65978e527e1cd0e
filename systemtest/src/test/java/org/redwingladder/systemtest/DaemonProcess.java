package org.redwingladder.systemtest;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.redwingladder.http.Json;

/** Runs one entry host daemon as a process of its own. */
final class DaemonProcess implements AutoCloseable {
    private static final Pattern LISTENING =
            Pattern.compile("listening on client (\\S+) peer (\\S+) operator (\\S+)");
    private static final long EXIT_SECONDS = 90;

    private final String mHost;
    private final Process mProcess;
    private final Path mOutput;
    private final HttpProbe mProbe;
    private String mClient = "";
    private String mOperator = "";

    private DaemonProcess(String host, Process process, Path output, HttpProbe probe) {
        mHost = host;
        mProcess = process;
        mOutput = output;
        mProbe = probe;
    }

    /** Starts a daemon whose ports the kernel chooses, and waits until it listens. */
    static DaemonProcess start(
            Path directory, String host, long incarnation, String platform, HttpProbe probe)
            throws Exception {
        String name = host + "-" + incarnation;
        Path config = directory.resolve(name + ".json");
        Files.writeString(config, config(host, incarnation, platform));
        Path output = directory.resolve(name + ".out");
        Process process =
                new ProcessBuilder(command(config))
                        .redirectOutput(output.toFile())
                        .redirectError(directory.resolve(name + ".err").toFile())
                        .start();
        DaemonProcess daemon = new DaemonProcess(host, process, output, probe);
        Await.until(host + " listens", daemon::readAddresses);
        return daemon;
    }

    private static List<String> command(Path config) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.redwingladder.daemon.Main",
                "--config",
                config.toString());
    }

    private static String config(String host, long incarnation, String platform) {
        return """
            {"host": "%s", "zone": "suva", "incarnation": %d,
             "listen": {"client": "127.0.0.1:0", "peer": "127.0.0.1:0",
               "operator": "127.0.0.1:0"},
             "platform": ["%s"], "tokenKey": "a-key-for-tests-only"}
            """
                .formatted(host, incarnation, platform);
    }

    private boolean readAddresses() throws IOException {
        Matcher matcher = LISTENING.matcher(Files.readString(mOutput, UTF_8));
        if (!matcher.find()) {
            return false;
        }
        mClient = matcher.group(1);
        mOperator = matcher.group(3);
        return true;
    }

    String host() {
        return mHost;
    }

    String client() {
        return mClient;
    }

    String operator() {
        return mOperator;
    }

    /** Returns what the operator listener says of the process. */
    JsonNode status() throws Exception {
        return Json.tree(mProbe.get(mOperator, "/v1/status").body().getBytes(UTF_8));
    }

    boolean ready() throws Exception {
        return status().get("ready").asBoolean();
    }

    /** Returns whether the process owns the site of {@code service} and is confirmed. */
    boolean owns(String service) throws Exception {
        JsonNode status = status();
        for (JsonNode site : status.get("sites")) {
            if (site.toString().contains("\"" + service + "\"")) {
                return status.get("confirmed").asBoolean();
            }
        }
        return false;
    }

    /** Stops the process in its tracks, as a long pause of the machine does. */
    void freeze() throws Exception {
        signal("-STOP");
    }

    void thaw() throws Exception {
        signal("-CONT");
    }

    /** Ends the process at once. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    /** Begins a planned stop. */
    void terminate() {
        mProcess.destroy();
    }

    /** Waits for the end of the process and returns its exit code. */
    int exitCode() throws InterruptedException {
        if (!mProcess.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError(mHost + " has not ended after " + EXIT_SECONDS + " s");
        }
        return mProcess.exitValue();
    }

    private void signal(String signal) throws Exception {
        new ProcessBuilder("kill", signal, String.valueOf(mProcess.pid())).start().waitFor();
    }

    @Override
    public void close() {
        // A frozen process ends by this signal too.
        mProcess.destroyForcibly();
    }
}
