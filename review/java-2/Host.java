import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of role entry, with the command and the template of the deploy file. */
final class Host {
    /** A loopback address of its own, so that runs beside each other share no ports. */
    static final String ADDRESS =
            "127."
                    + ThreadLocalRandom.current().nextInt(1, 250)
                    + "."
                    + ThreadLocalRandom.current().nextInt(1, 250)
                    + ".1";

    private static final Set<Integer> USED = new HashSet<>();

    final String name;
    final String zone;
    final int clients = freePort();
    final int readiness = freePort();
    final int lookups = freePort();
    final int peers = freePort();
    final Store.Path store;
    private final Path mRoot;
    private final Path mFolder;
    private Process mProcess;

    /** When the process was started, in milliseconds of the record. */
    volatile long startedAt;

    Host(Path root, Path folder, String name, String zone, Store.Path store) {
        mRoot = root;
        mFolder = folder;
        this.name = name;
        this.zone = zone;
        this.store = store;
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static synchronized int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            if (USED.add(port)) {
                try (ServerSocket socket =
                        new ServerSocket(port, 1, InetAddress.getByName(ADDRESS))) {
                    return socket.getLocalPort();
                } catch (IOException e) {
                    // Another process uses the port.
                }
            }
        }
    }

    String peerAddress() {
        return ADDRESS + ":" + peers;
    }

    void start(Map<String, String> regionOfZone, List<String> seeds) throws IOException {
        String deploy = Files.readString(mRoot.resolve("deploy/system.toml"));
        Map<String, String> values = new TreeMap<>();
        values.put("node", Json.quote(name));
        values.put("zone", Json.quote(zone));
        values.put("zones", object(regionOfZone));
        values.put("listen.front", Json.quote(ADDRESS + ":" + clients));
        values.put("listen.ready", Json.quote(ADDRESS + ":" + readiness));
        values.put("listen.directory", Json.quote(ADDRESS + ":" + lookups));
        values.put("listen.control", Json.quote(peerAddress()));
        values.put("seeds", "[" + String.join(",", seeds.stream().map(Json::quote).toList()) + "]");
        values.put("provider.addr", Json.quote(store.address()));
        values.put("limits.cores", "1");
        values.put("limits.cpu_share", "0.42");
        values.put("limits.link_mbps", "700.0");
        values.put("limits.max_fds", "2870");
        values.put("bounds.grace", "\"6s\"");
        values.put("bounds.ttl_max", "\"5s\"");
        values.put("bounds.retry_ratio", "0.2");
        values.put("bounds.retry_slack", "130");
        values.put("bounds.retry_window", "\"10s\"");
        String template = Files.readString(mRoot.resolve(word(deploy, "template")));
        Matcher placeholder = Pattern.compile("\\{\\{([a-z_.]+)\\|json}}").matcher(template);
        String settings =
                placeholder.replaceAll(
                        m -> Matcher.quoteReplacement(values.get(m.group(1)).toString()));
        Path file = mFolder.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(word(deploy, "run").split(" "));
        builder.directory(mRoot.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("REDWINGLADDER_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        File log = mFolder.resolve(name + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        mProcess = builder.start();
    }

    private static String object(Map<String, String> map) {
        return "{"
                + String.join(
                        ",",
                        map.entrySet().stream()
                                .map(e -> Json.quote(e.getKey()) + ":" + Json.quote(e.getValue()))
                                .toList())
                + "}";
    }

    private static String word(String deploy, String name) {
        Matcher line = Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(deploy);
        if (!line.find()) {
            throw new IllegalStateException("the deploy file has no " + name);
        }
        return line.group(1);
    }

    boolean ready() {
        try {
            HttpURLConnection call =
                    (HttpURLConnection)
                            URI.create("http://" + ADDRESS + ":" + readiness + "/-/readyz")
                                    .toURL()
                                    .openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            int status = call.getResponseCode();
            try (InputStream body =
                    status == 200 ? call.getInputStream() : call.getErrorStream()) {
                if (body != null) {
                    body.readAllBytes();
                }
            }
            return status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean alive() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Returns the last line that the process has written. */
    String lastLine() throws IOException {
        List<String> lines = Files.readAllLines(mFolder.resolve(name + ".log"));
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    /** Ends the process at once, without waiting. */
    void lose() {
        mProcess.destroyForcibly();
    }

    void kill() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
