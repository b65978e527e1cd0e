package org.redwingladder.systemtest;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.redwingladder.standin.BackendConfig;
import org.redwingladder.standin.BackendServer;
import org.redwingladder.standin.PlatformServer;

/** A zone of three entry host processes and a service with a cap on requests in flight. */
final class ProcessZone implements AutoCloseable {
    static final String SERVICE = "checkout";
    static final int CAP = 2;

    private static final String TEAM_KEY = "key-of-all-teams";
    private static final int SLOTS = 8;
    private static final double RESPONSE_MILLIS = 100;

    private final Path mDirectory;
    private final HttpProbe mProbe = new HttpProbe();
    private final PlatformServer mPlatform = PlatformServer.start();
    private final BackendServer mBackend =
            BackendServer.start(
                    BackendConfig.of(
                            "b1",
                            SLOTS,
                            List.of(new BackendConfig.PathClass("/", RESPONSE_MILLIS, 0, 20_000))));
    private final List<DaemonProcess> mDaemons = new ArrayList<>();
    private long mIncarnation = 1;

    ProcessZone(Path directory) throws Exception {
        mDirectory = directory;
        for (int i = 1; i <= 3; i++) {
            start("suva-" + i);
        }
        put("deployment", "/deployment", deployment());
        put("store", "/teams/store", store());
        for (DaemonProcess daemon : mDaemons) {
            Await.until(daemon.host() + " is ready", daemon::ready);
        }
    }

    /** Starts a process of {@code host}, which replaces an earlier one in {@link #daemons}. */
    DaemonProcess start(String host) throws Exception {
        DaemonProcess daemon =
                DaemonProcess.start(mDirectory, host, mIncarnation++, mPlatform.address(), mProbe);
        mDaemons.removeIf(other -> other.host().equals(host));
        mDaemons.add(daemon);
        return daemon;
    }

    List<DaemonProcess> daemons() {
        return List.copyOf(mDaemons);
    }

    BackendServer backend() {
        return mBackend;
    }

    PlatformServer platform() {
        return mPlatform;
    }

    HttpProbe probe() {
        return mProbe;
    }

    /** Waits until one of {@code daemons} is the confirmed owner, and returns it. */
    DaemonProcess awaitOwner(List<DaemonProcess> daemons) throws Exception {
        List<DaemonProcess> owners = new ArrayList<>();
        Await.until(
                "one of the daemons owns the site",
                () -> {
                    for (DaemonProcess daemon : daemons) {
                        if (daemon.owns(SERVICE)) {
                            owners.add(daemon);
                            return true;
                        }
                    }
                    return false;
                });
        return owners.getFirst();
    }

    private void put(String team, String path, String value) throws Exception {
        HttpRequest.Builder request =
                HttpProbe.request(mDaemons.getFirst().operatorAddress(), "/v1/settings/tree" + path)
                        .header("If-Match", "0")
                        .header("Redwing-Team", team)
                        .header("Redwing-Team-Key", TEAM_KEY)
                        .header("Redwing-Change-Id", "put-" + team)
                        .PUT(BodyPublishers.ofString(value));
        HttpResponse<String> response = mProbe.send(request);
        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    }

    private static String deployment() throws Exception {
        byte[] hash = MessageDigest.getInstance("SHA-256").digest(TEAM_KEY.getBytes(UTF_8));
        String key = "{\"keySha256\":\"" + HexFormat.of().formatHex(hash) + "\"}";
        return """
            {"blockCount": 100, "lookupLifetimeMillis": 1000,
             "regions": {"viti": {"zones": ["suva"]}}, "distances": {}, "links": {},
             "blocks": {"all": {"first": 0, "last": 99, "region": "viti"}},
             "teams": {"deployment": %s, "store": %s}}
            """
                .formatted(key, key);
    }

    private String store() {
        return """
            {"services": {"%s": {"maxRequestMillis": 2000, "rampMillis": 0,
               "longSlotsPercent": 66, "classes": {}, "zones": {"suva": {"weight": 100}}}},
             "backendServers": {"b1": {"service": "%s", "zone": "suva", "address": "%s",
               "slots": %d, "connections": 200, "state": "serving"}},
             "caps": {"all": {"service": "%s", "from": "any", "to": "suva", "inFlight": %d}}}
            """
                .formatted(SERVICE, SERVICE, mBackend.address(), SLOTS, SERVICE, CAP);
    }

    @Override
    public void close() {
        for (DaemonProcess daemon : mDaemons) {
            daemon.close();
        }
        mBackend.close();
        mPlatform.close();
    }
}
