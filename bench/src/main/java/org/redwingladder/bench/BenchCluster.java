package org.redwingladder.bench;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.redwingladder.daemon.Daemon;
import org.redwingladder.daemon.DaemonConfig;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.HttpClientLimits;
import org.redwingladder.http.Json;
import org.redwingladder.standin.BackendConfig;
import org.redwingladder.standin.BackendServer;
import org.redwingladder.standin.PlatformServer;

/** Runs entry hosts, a platform and one backend server in this process. */
final class BenchCluster implements AutoCloseable {
    static final String SERVICE = "bench";

    private static final String TEAM_KEY = "key-of-all-teams";
    private static final int BACKEND_SLOTS = 64;
    private static final int IO_THREADS = Integer.getInteger("bench.ioThreads", 2);
    private static final long CALL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long POLL_MILLIS = 2;
    private static final BackendConfig.PathClass INSTANT =
            new BackendConfig.PathClass("/", 0, 0, 256);

    final PlatformServer mPlatform = PlatformServer.start();
    final BackendServer mBackend =
            BackendServer.start(BackendConfig.of("b1", BACKEND_SLOTS, List.of(INSTANT)));
    final AsyncHttpClient mCaller = AsyncHttpClient.create(2, HttpClientLimits.defaults());
    final List<Daemon> mDaemons = new ArrayList<>();
    private long mChanges;

    /** Starts {@code hosts} entry hosts in {@code zones} zones and puts their settings. */
    BenchCluster(int hosts, int zones) throws Exception {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        for (int i = 0; i < hosts; i++) {
            DaemonConfig config =
                    new DaemonConfig(
                            "host-" + i,
                            "z" + i % zones,
                            1,
                            new DaemonConfig.Listen(any, any, any),
                            List.of(mPlatform.socketAddress()),
                            "0123456789abcdef".getBytes(UTF_8),
                            new DaemonConfig.Limits(IO_THREADS, 8192, 1024, 60_000));
            mDaemons.add(Daemon.start(config));
        }
        put("deployment", "/deployment", 0, deployment(zones));
        put("store", "/teams/store", 0, store());
    }

    /** Puts a value and returns the settings version that was accepted. */
    long put(String team, String path, long subtreeVersion, String value) throws Exception {
        CallRequest request =
                CallRequest.of(
                                new HttpString("PUT"),
                                address(mDaemons.get(0).operatorAddress()),
                                "/v1/settings/tree" + path,
                                deadline())
                        .header(Headers.IF_MATCH, String.valueOf(subtreeVersion))
                        .header(header(org.redwingladder.api.Headers.TEAM), team)
                        .header(header(org.redwingladder.api.Headers.TEAM_KEY), TEAM_KEY)
                        .header(
                                header(org.redwingladder.api.Headers.CHANGE_ID),
                                "change-" + mChanges++)
                        .body(value.getBytes(UTF_8));
        BufferedResponse answer = mCaller.fetch(request).get(10, TimeUnit.SECONDS);
        if (answer.status() != 200) {
            throw new IllegalStateException("put failed: " + new String(answer.body(), UTF_8));
        }
        return Json.tree(answer.body()).get("version").asLong();
    }

    /** Waits until all entry hosts serve by {@code version}. */
    void awaitVersion(long version) throws Exception {
        for (Daemon daemon : mDaemons) {
            while (status(daemon).get("settingsVersion").asLong() < version) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    /** Waits until all entry hosts are ready. */
    void awaitReady() throws Exception {
        for (Daemon daemon : mDaemons) {
            while (!status(daemon).get("ready").asBoolean()) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    private JsonNode status(Daemon daemon) throws Exception {
        CallRequest request =
                CallRequest.of(
                        new HttpString("GET"),
                        address(daemon.operatorAddress()),
                        "/v1/status",
                        deadline());
        return Json.tree(mCaller.fetch(request).get(10, TimeUnit.SECONDS).body());
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    static long deadline() {
        return System.nanoTime() + CALL_NANOS;
    }

    private static HttpString header(String name) {
        return new HttpString(name);
    }

    private static String deployment(int zones) throws Exception {
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < zones; i++) {
            names.append(i == 0 ? "" : ",").append("\"z").append(i).append('"');
        }
        byte[] hash = MessageDigest.getInstance("SHA-256").digest(TEAM_KEY.getBytes(UTF_8));
        String key = "{\"keySha256\":\"" + HexFormat.of().formatHex(hash) + "\"}";
        return """
            {"blockCount": 1000, "lookupLifetimeMillis": 5000,
             "regions": {"r": {"zones": [%s]}}, "distances": {}, "links": {},
             "blocks": {"all": {"first": 0, "last": 999, "region": "r"}},
             "teams": {"deployment": %s, "store": %s}}
            """
                .formatted(names, key, key);
    }

    String store() {
        return """
            {"services": {"bench": {"maxRequestMillis": 10000, "rampMillis": 0,
               "longSlotsPercent": 66, "classes": {}, "zones": {"z0": {"weight": %d}}}},
             "backendServers": {"b1": {"service": "bench", "zone": "z0", "address": "%s",
               "slots": %d, "connections": 800, "state": "serving"}},
             "caps": {}}
            """
                .formatted(100 + mChanges, mBackend.address(), BACKEND_SLOTS);
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::close);
        mCaller.close();
        mBackend.close();
        mPlatform.close();
    }
}
