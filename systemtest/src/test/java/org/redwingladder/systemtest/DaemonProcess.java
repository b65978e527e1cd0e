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

/** An entry host daemon that runs as a separate process. */
final class DaemonProcess implements AutoCloseable {
    private static final Pattern LISTENING =
            Pattern.compile("listening on client (\\S+) peer (\\S+) operator (\\S+)");
    private static final long EXIT_TIMEOUT_SECONDS = 90;

    private final String mHost;
    private final Process mProcess;
    private final Path mOutput;
    private final HttpProbe mProbe;
    private String mClientAddress = "";
    private String mOperatorAddress = "";

    private DaemonProcess(String host, Process process, Path output, HttpProbe probe) {
        mHost = host;
        mProcess = process;
        mOutput = output;
        mProbe = probe;
    }

    /** Starts a daemon on ephemeral ports and waits until it listens. */
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
        mClientAddress = matcher.group(1);
        mOperatorAddress = matcher.group(3);
        return true;
    }

    String host() {
        return mHost;
    }

    String clientAddress() {
        return mClientAddress;
    }

    String operatorAddress() {
        return mOperatorAddress;
    }

    /** Fetches the status of the process from its operator listener. */
    JsonNode status() throws Exception {
        return Json.tree(mProbe.get(mOperatorAddress, "/v1/status").body().getBytes(UTF_8));
    }

    boolean ready() throws Exception {
        return status().get("ready").asBoolean();
    }

    /** Returns whether the process is the confirmed owner of the site of {@code service}. */
    boolean owns(String service) throws Exception {
        JsonNode status = status();
        for (JsonNode site : status.get("sites")) {
            if (site.toString().contains("\"" + service + "\"")) {
                return status.get("confirmed").asBoolean();
            }
        }
        return false;
    }

    /** Suspends the process with SIGSTOP, which simulates a long pause of the machine. */
    void suspend() throws Exception {
        signal("-STOP");
    }

    /** Resumes the process with SIGCONT. */
    void resume() throws Exception {
        signal("-CONT");
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }

    /** Requests a graceful shutdown with SIGTERM. */
    void terminate() {
        mProcess.destroy();
    }

    /** Waits until the process exits and returns its exit code. */
    int exitCode() throws InterruptedException {
        if (!mProcess.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError(mHost + " did not exit within " + EXIT_TIMEOUT_SECONDS + " s");
        }
        return mProcess.exitValue();
    }

    private void signal(String signal) throws Exception {
        new ProcessBuilder("kill", signal, String.valueOf(mProcess.pid())).start().waitFor();
    }

    @Override
    public void close() {
        // SIGKILL also ends a suspended process.
        mProcess.destroyForcibly();
    }
}
