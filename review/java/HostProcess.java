package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry host, started with the command and the settings template of the deploy file. */
final class HostProcess implements AutoCloseable {
    static final String ZONE = "viti-suva";

    private static final String ZONES =
            "{\"viti-suva\": \"viti\", \"vanua-labasa\": \"vanua\","
                    + " \"taveuni-somosomo\": \"taveuni\", \"viti-nadi\": \"viti\","
                    + " \"vanua-savusavu\": \"vanua\", \"taveuni-waiyevo\": \"taveuni\"}";

    private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

    private final Path mFolder;
    private final String mName;
    private final String mZone;
    private final Record mRecord;
    private final int[] mPorts = new int[4];
    private Process mProcess;

    HostProcess(String name, String zone, Path folder, Record record) throws IOException {
        mName = name;
        mZone = zone;
        mFolder = folder;
        mRecord = record;
        for (int i = 0; i < mPorts.length; i++) {
            mPorts[i] = freePort();
        }
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static int freePort() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 30_000);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (USED_PORTS.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // The port is in use.
            }
        }
        throw new IOException("no free port found");
    }

    /** Fills in the settings template. */
    private void writeSettings(String store, List<HostProcess> seeds) throws IOException {
        Map<String, String> values = new TreeMap<>();
        values.put("node", quoted(mName));
        values.put("zone", quoted(mZone));
        values.put("zones", ZONES);
        values.put("listen.front", quoted("127.0.0.1:" + mPorts[0]));
        values.put("listen.ready", quoted("127.0.0.1:" + mPorts[1]));
        values.put("listen.directory", quoted("127.0.0.1:" + mPorts[2]));
        values.put("listen.control", quoted("127.0.0.1:" + mPorts[3]));
        StringJoiner addresses = new StringJoiner(",", "[", "]");
        for (HostProcess seed : seeds) {
            addresses.add(quoted("127.0.0.1:" + seed.mPorts[3]));
        }
        values.put("seeds", addresses.toString());
        values.put("provider.addr", quoted(store));
        values.put("limits.cores", "1");
        values.put("limits.cpu_share", "0.42");
        values.put("limits.link_mbps", "700.0");
        values.put("bounds.grace", quoted("6s"));
        values.put("bounds.ttl_max", quoted("5s"));
        values.put("bounds.retry_ratio", "0.2");
        values.put("bounds.retry_slack", "130");
        values.put("bounds.retry_window", quoted("10s"));
        Matcher placeholder =
                Pattern.compile("\\{\\{([a-z_.]+)\\|json}}")
                        .matcher(Files.readString(Path.of("platform/host.template.json")));
        Files.writeString(
                settings(),
                placeholder.replaceAll(
                        match -> Matcher.quoteReplacement(values.get(match.group(1)))));
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    private Path settings() {
        return mFolder.resolve(mName + ".json");
    }

    String name() {
        return mName;
    }

    int port() {
        return mPorts[0];
    }

    /**
     * Starts the process; its log goes to a file in the temporary folder.
     *
     * @param store the address of the store, or of a proxy before it
     * @param seeds at most three hosts
     */
    void start(String store, List<HostProcess> seeds) throws IOException {
        writeSettings(store, seeds);
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("REDWINGLADDER_SETTINGS", settings().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".log").toFile()));
        mProcess = builder.start();
        mRecord.line("host %s starts", mName);
    }

    /** Waits until the host answers that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 300; i++) {
            if (ready()) {
                mRecord.line("host %s is ready", mName);
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("host " + mName + " isn't ready after 15 s");
    }

    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", mPorts[1]), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            Http.Head head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    /** Returns the lines of the host's log that contain a text. */
    List<String> logLines(String text) throws IOException {
        try (var lines = Files.lines(mFolder.resolve(mName + ".log"))) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    void kill() throws InterruptedException {
        mRecord.line("host %s is killed", mName);
        mProcess.destroyForcibly();
        mProcess.waitFor(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        if (mProcess != null && mProcess.isAlive()) {
            mProcess.destroyForcibly();
            mProcess.onExit().join();
        }
    }
}
