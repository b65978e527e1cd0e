package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/** HTTP client for the admin and operator endpoints of the demo's processes. */
final class DemoHttpClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();

    /** Returns the JSON at {@code path}; empty if there is no response with status 200. */
    Optional<JsonNode> find(String address, String path) throws InterruptedException {
        try {
            HttpResponse<byte[]> response = send(request(address, path).GET().build());
            return response.statusCode() == 200
                    ? Optional.of(Json.MAPPER.readTree(response.body()))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the JSON at {@code path}.
     *
     * @throws DemoException if there is no response with status 200
     */
    JsonNode get(String address, String path) throws InterruptedException, DemoException {
        return find(address, path)
                .orElseThrow(() -> new DemoException("no response from " + address + path));
    }

    /**
     * Posts a JSON body.
     *
     * @throws DemoException if there is no response with status 2xx
     */
    void post(String address, String path, String body) throws InterruptedException, DemoException {
        try {
            HttpRequest request =
                    request(address, path)
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build();
            HttpResponse<byte[]> response = send(request);
            if (response.statusCode() / 100 != 2) {
                throw new DemoException(
                        address + path + " returned status " + response.statusCode());
            }
        } catch (IOException e) {
            throw new DemoException("no response from " + address + path + ": " + e.getMessage());
        }
    }

    private HttpResponse<byte[]> send(HttpRequest request)
            throws IOException, InterruptedException {
        return mClient.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    private static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    }

    @Override
    public void close() {
        mClient.shutdownNow();
    }
}
