package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.HttpClientLimits;
import org.redwingladder.http.InvalidForms;
import org.redwingladder.http.ScriptedHttpServer;

class HttpTransportTest {
    private static final String LOOKUP =
            "{\"service\":\"a\",\"block\":1,\"hosts\":[],\"expiresAt\":1,\"version\":1}";

    private ScriptedHttpServer mHost;
    private AsyncHttpClient mHttpClient;
    private HttpTransport mTransport;

    @BeforeEach
    void start() throws Exception {
        mHost = new ScriptedHttpServer((request, out) -> false);
        mHttpClient = AsyncHttpClient.create(1, HttpClientLimits.defaults());
        mTransport = new HttpTransport(mHttpClient);
    }

    @AfterEach
    void stop() throws Exception {
        mHttpClient.close();
        mHost.close();
    }

    private void respond(String response) {
        mHost.setHandler(
                (request, out) -> {
                    out.write(response.replace("A: b", id(request)).getBytes(ISO_8859_1));
                    return true;
                });
    }

    private static String id(ScriptedHttpServer.Received request) {
        return "Redwing-Request-Id: " + request.id();
    }

    static List<String> invalidLookups() {
        return InvalidForms.withBody(LOOKUP);
    }

    static List<String> invalidResponses() {
        return InvalidForms.withBody("hello");
    }

    @Nested
    class InvalidResponses {
        @ParameterizedTest
        @MethodSource("org.redwingladder.tool.HttpTransportTest#invalidLookups")
        void areNoResultOfALookup(String response) throws Exception {
            respond(response);
            LookupResult result =
                    mTransport
                            .lookup(Addresses.format(mHost.address()), "a", 1, false, deadline())
                            .get(30, TimeUnit.SECONDS);
            assertThat(result).isEqualTo(new LookupResult.Failed("lost-bad-answer"));
        }

        @ParameterizedTest
        @MethodSource("org.redwingladder.tool.HttpTransportTest#invalidResponses")
        void areNoResultOfARequest(String response) throws Exception {
            respond(response);
            Work work = new Work("w", "a", 1, "GET", "/", new byte[0], false, deadline(), -1);
            AttemptResult result =
                    mTransport
                            .send(Addresses.format(mHost.address()), work, "w.1", null)
                            .get(30, TimeUnit.SECONDS);
            assertThat(result).isInstanceOf(AttemptResult.Lost.class);
            assertThat(result.reason()).isEqualTo("lost-bad-answer");
        }

        private static long deadline() {
            return System.currentTimeMillis() + 20_000;
        }
    }
}
