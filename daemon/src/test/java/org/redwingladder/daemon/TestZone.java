package org.redwingladder.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.redwingladder.http.Eventually;
import org.redwingladder.membership.HeartbeatSchedule;
import org.redwingladder.standin.BackendConfig;
import org.redwingladder.standin.BackendServer;
import org.redwingladder.standin.PlatformServer;

/** The daemons of one zone in this process, with a platform and one backend server. */
final class TestZone implements AutoCloseable {
    static final String SERVICE = "checkout";
    static final String ANSWERED = "200";

    // Shorter periods than in production, so that a takeover takes about five seconds.
    private static final HeartbeatSchedule SCHEDULE = new HeartbeatSchedule(250, 10, 1000, 60);
    private static final String TEAM_KEY = "key-of-all-teams";

    private final PlatformServer mPlatform = PlatformServer.start();
    private final BackendServer mBackend = BackendServer.start(BackendConfig.of("b1", 4));
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private long mIncarnation = 1;

    TestZone() throws Exception {}

    PlatformServer platform() {
        return mPlatform;
    }

    /** Starts a daemon of the zone. */
    Daemon start(String host) throws Exception {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        Daemon daemon =
                Daemon.start(
                        new DaemonConfig(
                                host,
                                "suva",
                                mIncarnation++,
                                new DaemonConfig.Listen(any, any, any),
                                List.of(mPlatform.socketAddress()),
                                "0123456789abcdef".getBytes(UTF_8),
                                DaemonConfig.Limits.DEFAULT),
                        SCHEDULE);
        mDaemons.add(daemon);
        return daemon;
    }

    /** Starts four daemons, writes settings with one service and waits until all are ready. */
    List<Daemon> startFour() throws Exception {
        List<Daemon> daemons = new ArrayList<>();
        for (String host : List.of("suva-1", "suva-2", "suva-3", "suva-4")) {
            daemons.add(start(host));
        }
        put(daemons.get(0), "deployment", "/deployment", deployment());
        put(daemons.get(0), "store", "/teams/store", store());
        Eventually.until(
                "all daemons are ready",
                () ->
                        daemons.stream().allMatch(d -> d.state().notReadyReasons().isEmpty())
                                && owner(daemons) != null);
        return daemons;
    }

    /** Returns the daemon that owns the site and holds a lease; null if there is none. */
    static Daemon owner(List<Daemon> daemons) {
        for (Daemon daemon : daemons) {
            if (daemon.state().ownedServices().contains(SERVICE)
                    && daemon.state().holdsOwnerLease()) {
                return daemon;
            }
        }
        return null;
    }

    /** Sends a request to a daemon; returns {@code 200} or the error body. */
    String request(Daemon ingress) throws Exception {
        URI uri =
                URI.create("http://" + ingress.clientAddress() + "/v1/services/" + SERVICE + "/x");
        HttpResponse<String> answer = send(HttpRequest.newBuilder(uri).GET());
        return answer.statusCode() == 200 ? ANSWERED : answer.body();
    }

    /** Sends a GET request to the operator listener of a daemon. */
    HttpResponse<String> operator(Daemon daemon, String path) throws Exception {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + daemon.operatorAddress() + path))
                        .GET());
    }

    /** Sends a POST request to the operator listener of a daemon. */
    HttpResponse<String> post(Daemon daemon, String path, String body) throws Exception {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + daemon.operatorAddress() + path))
                        .POST(BodyPublishers.ofString(body)));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return mClient.send(
                request.timeout(Duration.ofSeconds(10)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private void put(Daemon daemon, String team, String path, String value) throws Exception {
        HttpResponse<String> answer =
                send(
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://"
                                                        + daemon.operatorAddress()
                                                        + "/v1/settings/tree"
                                                        + path))
                                .header("If-Match", "0")
                                .header("Redwing-Change-Id", "test-" + team)
                                .header("Redwing-Team", team)
                                .header("Redwing-Team-Key", TEAM_KEY)
                                .PUT(BodyPublishers.ofString(value)));
        if (answer.statusCode() != 200) {
            throw new AssertionError(path + ": " + answer.body());
        }
    }

    private static String deployment() throws Exception {
        String hash =
                HexFormat.of()
                        .formatHex(
                                MessageDigest.getInstance("SHA-256")
                                        .digest(TEAM_KEY.getBytes(UTF_8)));
        return """
        {"blockCount": 100, "lookupLifetimeMillis": 1000,
         "regions": {"viti": {"zones": ["suva"]}}, "distances": {}, "links": {},
         "blocks": {"b0": {"first": 0, "last": 99, "region": "viti"}},
         "teams": {"deployment": {"keySha256": "HASH"}, "store": {"keySha256": "HASH"}}}
        """
                .replace("HASH", hash);
    }

    private String store() {
        return """
        {"services": {"checkout": {"maxRequestMillis": 3000, "rampMillis": 0,
           "longSlotsPercent": 66, "classes": {}, "zones": {"suva": {"weight": 100}}}},
         "backendServers": {"b1": {"service": "checkout", "zone": "suva",
           "address": "ADDRESS", "slots": 4, "connections": 100, "state": "serving"}},
         "caps": {}}
        """
                .replace("ADDRESS", mBackend.address());
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::close);
        mBackend.close();
        mPlatform.close();
    }
}
