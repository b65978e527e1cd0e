package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** HTTP client for tests of the stand-ins; it shares no code with them. */
final class StandinClient implements AutoCloseable {
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String mAddress;

    StandinClient(String address) {
        mAddress = address;
    }

    HttpResponse<String> call(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return mClient.send(
                request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> start(
            String method, String path, String body, String... headers) {
        return mClient.sendAsync(
                request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    JsonNode json(String method, String path, String body)
            throws IOException, InterruptedException {
        return Json.MAPPER.readTree(call(method, path, body).body());
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + mAddress + path))
                        .timeout(Duration.ofSeconds(20))
                        .method(
                                method,
                                body.isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }

    /** Waits until {@code condition} holds; fails after 20 s. */
    static void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("the condition did not hold within 20 s");
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        mClient.shutdownNow();
    }
}
