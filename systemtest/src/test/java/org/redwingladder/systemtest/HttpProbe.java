package org.redwingladder.systemtest;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Sends HTTP requests with the JDK's client, which is independent of the code under test. */
final class HttpProbe {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    HttpResponse<String> get(String address, String path) throws IOException, InterruptedException {
        return send(request(address, path).GET());
    }

    HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return mClient.send(request.timeout(TIMEOUT).build(), BodyHandlers.ofString());
    }

    static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path));
    }
}
