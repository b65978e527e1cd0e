package org.redwingladder.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.Json;
import org.redwingladder.http.ScriptedHttpServer;

/** The entry hosts and backend servers of one service, in this process. */
final class TestDeployment implements AutoCloseable {
    final FakeCluster mCluster = new FakeCluster();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final List<Closeable> mContext = new ArrayList<>();
    private final Map<String, TestHost> mHosts = new HashMap<>();
    private InetSocketAddress mPlatform = new InetSocketAddress("127.0.0.1", 9);

    /** A response as received by a client. */
    record Reply(int status, Map<String, List<String>> headers, String body) {
        String header(String name) {
            List<String> values = headers.get(name.toLowerCase(java.util.Locale.ROOT));
            return values == null ? null : values.get(0);
        }

        private JsonNode error() {
            try {
                return Json.tree(body.getBytes()).path("error");
            } catch (IOException e) {
                throw new AssertionError("not an error: " + body, e);
            }
        }

        String reason() {
            return error().path("reason").asText();
        }

        String outcome() {
            return error().path("outcome").asText();
        }
    }

    /** Sets the platform's address for the hosts that are started from now on. */
    TestDeployment platform(InetSocketAddress platform) {
        mPlatform = platform;
        return this;
    }

    /** Adds a zone with one entry host, which owns its site, and one backend server. */
    ScriptedHttpServer zone(String zone, String host, ScriptedHttpServer.Handler handler)
            throws IOException {
        ScriptedHttpServer backend = new ScriptedHttpServer(handler);
        mContext.add(backend::close);
        mCluster.mZones.add(zone);
        mCluster.mBackendsByZone.put(zone, new HashMap<>(Map.of(zone + "-b", backend.address())));
        host(host, zone);
        mCluster.mOwnerByZone.put(zone, host);
        mCluster.changed();
        return backend;
    }

    TestHost host(String host, String zone) throws IOException {
        TestHost started = new TestHost(mCluster, host, zone, mPlatform);
        mContext.add(0, started::close);
        mHosts.put(host, started);
        return started;
    }

    TestHost host(String host) {
        return mHosts.get(host);
    }

    HttpRequest.Builder request(String host, String path) {
        return HttpRequest.newBuilder(
                        URI.create(
                                "http://"
                                        + Addresses.format(mHosts.get(host).clientAddress())
                                        + path))
                .timeout(Duration.ofSeconds(30));
    }

    Reply send(HttpRequest.Builder request) throws Exception {
        HttpResponse<String> response =
                mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
        return new Reply(response.statusCode(), response.headers().map(), response.body());
    }

    java.util.concurrent.CompletableFuture<HttpResponse<String>> sendAsync(
            HttpRequest.Builder request) {
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    Reply get(String host, String path) throws Exception {
        return send(request(host, "/v1/services/shop" + path).GET());
    }

    Reply post(String host, String path, String body) throws Exception {
        return send(request(host, "/v1/services/shop" + path).POST(BodyPublishers.ofString(body)));
    }

    /** Adds tokens to a host's retry budget: each request adds a tenth of a token. */
    void earnRetryTokens(String host, int retries) throws Exception {
        for (int i = 0; i < 10 * retries; i++) {
            get(host, "/warm");
        }
    }

    @Override
    public void close() throws IOException {
        for (Closeable part : mContext) {
            part.close();
        }
    }
}
