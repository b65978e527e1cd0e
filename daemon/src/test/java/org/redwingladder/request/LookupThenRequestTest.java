package org.redwingladder.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.Json;
import org.redwingladder.http.ScriptedHttpServer;

class LookupThenRequestTest {
    private final FakeCluster mCluster = new FakeCluster();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private ScriptedHttpServer mBackend;
    private TestHost mFirst;
    private TestHost mSecond;

    @BeforeEach
    void start() throws Exception {
        mBackend =
                new ScriptedHttpServer(
                        (request, out) ->
                                ScriptedHttpServer.respond(
                                        request,
                                        out,
                                        200,
                                        request.method()
                                                + " "
                                                + request.path()
                                                + " "
                                                + new String(request.body())));
        mCluster.mZones.add("near");
        mCluster.mBackendsByZone.put("near", Map.of("b1", mBackend.address()));
        mFirst = new TestHost(mCluster, "e1", "near", mBackend.address());
        mSecond = new TestHost(mCluster, "e2", "near", mBackend.address());
    }

    @AfterEach
    void stop() throws Exception {
        mFirst.close();
        mSecond.close();
        mBackend.close();
    }

    private HttpResponse<String> send(InetSocketAddress host, HttpRequest.Builder request)
            throws Exception {
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.Builder to(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path));
    }

    @Nested
    class HostsOfALookup {
        /** Guards against a host that a look-up returns but that cannot serve the request. */
        @Test
        void serveRequestsAsOwnerAndAsIngress() throws Exception {
            mCluster.mOwnerByZone.put("near", "e1");
            mCluster.changed();
            String first = Addresses.format(mFirst.clientAddress());
            HttpResponse<String> lookup =
                    send(
                            mFirst.clientAddress(),
                            to(first, "/v1/lookup?service=shop&block=3").GET());
            JsonNode hosts = Json.tree(lookup.body().getBytes()).path("entryHosts");

            assertThat(hosts).hasSize(2);
            for (JsonNode host : hosts) {
                String address = host.path("address").asText();
                HttpResponse<String> answer =
                        send(
                                mFirst.clientAddress(),
                                to(address, "/v1/services/shop/cart/7?x=1")
                                        .POST(HttpRequest.BodyPublishers.ofString("two shirts")));

                assertThat(answer.statusCode()).isEqualTo(200);
                assertThat(answer.body()).isEqualTo("POST /cart/7?x=1 two shirts");
                assertThat(answer.headers().firstValue("Redwing-Backend")).contains("b1");
            }
            assertThat(mBackend.receivedRequests()).hasSize(2);
        }
    }
}
