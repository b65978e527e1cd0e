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

/** Runs three entry hosts of one zone as processes, with a capped service. */
final class ProcessZone implements AutoCloseable {
    static final String SERVICE = "checkout";
    static final int CAP = 2;

    private static final String TEAM_KEY = "key-of-all-teams";
    private static final int SLOTS = 8;
    private static final double SERVICE_MILLIS = 100;

    private final Path mDirectory;
    private final HttpProbe mProbe = new HttpProbe();
    private final PlatformServer mPlatform = PlatformServer.start();
    private final BackendServer mBackend =
            BackendServer.start(
                    BackendConfig.of(
                            "b1",
                            SLOTS,
                            List.of(new BackendConfig.PathClass("/", SERVICE_MILLIS, 0, 20_000))));
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

    /** Starts a process that takes the place of any earlier one of the same host. */
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

    /** Waits for a confirmed owner among {@code daemons}. */
    DaemonProcess awaitOwner(List<DaemonProcess> daemons) throws Exception {
        List<DaemonProcess> found = new ArrayList<>();
        Await.until(
                "a host owns the site",
                () -> {
                    for (DaemonProcess daemon : daemons) {
                        if (daemon.owns(SERVICE)) {
                            found.add(daemon);
                            return true;
                        }
                    }
                    return false;
                });
        return found.getFirst();
    }

    private void put(String team, String path, String value) throws Exception {
        HttpRequest.Builder request =
                HttpProbe.request(mDaemons.getFirst().operator(), "/v1/settings/tree" + path)
                        .header("If-Match", "0")
                        .header("Redwing-Team", team)
                        .header("Redwing-Team-Key", TEAM_KEY)
                        .header("Redwing-Change-Id", "put-" + team)
                        .PUT(BodyPublishers.ofString(value));
        HttpResponse<String> answer = mProbe.send(request);
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
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
