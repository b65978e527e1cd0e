package org.redwingladder.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformServerTest {
    private PlatformServer mServer;
    private StandinClient mClient;

    @BeforeEach
    void start() throws IOException {
        mServer =
                PlatformServer.start(new PlatformOptions("127.0.0.1", List.of(0, 0), 60_000, 0, 0));
        mClient = new StandinClient(mServer.address());
    }

    @AfterEach
    void stop() {
        mClient.close();
        mServer.close();
    }

    private HttpResponse<String> put(String id, String key, long version, int value)
            throws IOException, InterruptedException {
        String body =
                "{\"id\":\"%s\",\"checks\":[{\"key\":\"%s\",\"version\":%d}],"
                        + "\"puts\":[{\"key\":\"%s\",\"value\":%d}]}";
        return mClient.call(
                "POST", "/table/transactions", body.formatted(id, key, version, key, value));
    }

    private long versionOf(HttpResponse<String> response, String key) throws IOException {
        return Json.MAPPER.readTree(response.body()).path("versions").path(key).asLong();
    }

    /** Guards against lost updates: two conflicting writers of a row must not both succeed. */
    @Nested
    class Transactions {
        @Test
        void rejectsStaleVersionAndReturnsCurrentRow() throws Exception {
            long first = versionOf(put("t1", "roster/suva", 0, 1), "roster/suva");

            HttpResponse<String> late = put("t2", "roster/suva", 0, 2);

            assertThat(late.statusCode()).isEqualTo(409);
            JsonNode failed = Json.MAPPER.readTree(late.body()).path("failed").path(0);
            assertThat(failed.path("key").asText()).isEqualTo("roster/suva");
            assertThat(failed.path("version").asLong()).isEqualTo(first);
            assertThat(failed.path("value").asInt()).isEqualTo(1);
        }

        @Test
        void failedCheckRollsBackWholeTransaction() throws Exception {
            String body =
                    "{\"id\":\"t1\",\"checks\":[{\"key\":\"b\",\"version\":7}],"
                            + "\"puts\":[{\"key\":\"a\",\"value\":1}]}";

            assertThat(mClient.call("POST", "/table/transactions", body).statusCode())
                    .isEqualTo(409);
            assertThat(mClient.call("GET", "/table/rows/a", "").statusCode()).isEqualTo(404);
        }

        @Test
        void rewrittenRowNeverReusesAVersion() throws Exception {
            long first = versionOf(put("t1", "a", 0, 1), "a");
            mClient.call("POST", "/table/transactions", "{\"id\":\"t2\",\"deletes\":[\"a\"]}");

            assertThat(versionOf(put("t3", "a", 0, 1), "a")).isGreaterThan(first);
        }

        @Test
        void committedTransactionIsNotAppliedAgain() throws Exception {
            long first = versionOf(put("t1", "a", 0, 1), "a");

            assertThat(versionOf(put("t1", "a", 0, 1), "a")).isEqualTo(first);
            assertThat(mServer.table().row("a").orElseThrow().version()).isEqualTo(first);
        }

        @Test
        void paginatesRowsByVersion() throws Exception {
            put("t1", "p/b", 0, 1);
            put("t2", "p/a", 0, 2);
            put("t3", "q", 0, 3);

            JsonNode page = mClient.json("GET", "/table/rows?prefix=p/&after=0&limit=1", "");
            long last = page.at("/rows/0/version").asLong();
            JsonNode rest = mClient.json("GET", "/table/rows?prefix=p/&after=" + last, "");

            assertThat(page.at("/rows/0/key").asText()).isEqualTo("p/b");
            assertThat(rest.path("rows")).hasSize(1);
            assertThat(rest.at("/rows/0/key").asText()).isEqualTo("p/a");
        }

        @Test
        void badRequestNamesTheMissingField() throws Exception {
            HttpResponse<String> response =
                    mClient.call("POST", "/table/transactions", "{\"checks\":[]}");

            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(response.body()).contains("id");
        }
    }

    /** Guards against faults whose effects differ from their description. */
    @Nested
    class InjectedFaults {
        @Test
        void downPlatformExecutesNothing() {
            mServer.inject(PlatformFaults.NONE.withDown(true));

            assertThatThrownBy(() -> put("t1", "a", 0, 1)).isInstanceOf(IOException.class);
            assertThat(mServer.table().row("a")).isEmpty();
        }

        @Test
        void writeWithDroppedResponseTakesEffect() throws Exception {
            mServer.inject(PlatformFaults.NONE.withLostAnswers(1));

            assertThatThrownBy(() -> put("t1", "a", 0, 1)).isInstanceOf(IOException.class);
            assertThat(mServer.table().row("a")).isPresent();
            JsonNode result = mClient.json("GET", "/table/transactions/t1", "");
            assertThat(result.at("/versions/a").asLong()).isPositive();
            assertThat(put("t2", "b", 0, 1).statusCode()).isEqualTo(200);
            assertThat(mServer.stats().lostAnswers()).isEqualTo(1);
        }

        @Test
        void staleReadsHideWritesUntilCleared() throws Exception {
            put("t1", "a", 0, 1);
            mServer.inject(PlatformFaults.NONE.withStaleReads(true));
            long version = mServer.table().row("a").orElseThrow().version();
            put("t2", "a", version, 2);

            JsonNode stale = mClient.json("GET", "/table/rows/a", "");
            mServer.inject(PlatformFaults.NONE);

            assertThat(stale.path("value").asInt()).isEqualTo(1);
            assertThat(mClient.json("GET", "/table/rows/a", "").path("value").asInt()).isEqualTo(2);
        }

        @Test
        void frozenRequestIsExecutedWhenFaultIsCleared() throws Exception {
            mServer.inject(PlatformFaults.NONE.withFrozen(true));
            CompletableFuture<HttpResponse<String>> suspended =
                    mClient.start("PUT", "/objects/o", "content");
            // A second client of the server shows that requests are suspended rather than answered.
            CompletableFuture<HttpResponse<String>> read = mClient.start("GET", "/hosts", "");
            StandinClient.await(() -> mServer.suspendedRequests() == 2);

            assertThat(suspended).isNotDone();
            assertThat(read).isNotDone();
            mServer.inject(PlatformFaults.NONE);

            assertThat(suspended.join().statusCode()).isEqualTo(200);
            assertThat(mClient.call("GET", "/objects/o", "").body()).isEqualTo("content");
        }

        @Test
        void refusesClientsOfOneListenerOnly() throws Exception {
            String other = mServer.addresses().get(1);
            mServer.inject(PlatformFaults.NONE.withRefuseFrom(List.of(other)));

            try (StandinClient blocked = new StandinClient(other)) {
                assertThatThrownBy(() -> blocked.call("GET", "/hosts", ""))
                        .isInstanceOf(IOException.class);
            }
            assertThat(mClient.call("GET", "/hosts", "").statusCode()).isEqualTo(200);
        }

        @Test
        void delayAppliesToTheResponseOnly() throws Exception {
            mServer.inject(PlatformFaults.NONE.withDelayMillis(600_000));

            CompletableFuture<HttpResponse<String>> response =
                    mClient.start("PUT", "/objects/o", "content");
            StandinClient.await(() -> mServer.visibleObject("o") != null);

            assertThat(response).isNotDone();
        }

        @Test
        void adminEndpointStaysReachableWhileDown() throws Exception {
            mClient.json("POST", "/admin/faults", "{\"down\":true,\"loseAnswersAfterWrite\":true}");

            JsonNode faults = mClient.json("GET", "/admin/faults", "");

            assertThat(faults.path("down").asBoolean()).isTrue();
            assertThat(faults.path("loseAnswersAfterWrite").asInt()).isEqualTo(-1);
        }

        @Test
        void adminEndpointNamesAnUnknownFault() throws Exception {
            HttpResponse<String> response =
                    mClient.call("POST", "/admin/faults", "{\"slow\":true}");

            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(response.body()).contains("slow");
        }
    }

    /**
     * Guards against host list changes without lag, which would hide faults caused by stale host
     * lists.
     */
    @Nested
    class HostListLag {
        @Test
        void changeBecomesVisibleAfterTheLag() {
            HostDirectory directory = new HostDirectory(2_000);
            HostDirectory.Host host =
                    new HostDirectory.Host("a", "suva", "127.0.0.1:1", HostDirectory.State.LIVE);
            directory.replace(List.of(host), 10_000);
            directory.replace(List.of(), 11_000);

            assertThat(directory.visible(11_999).hosts()).isEmpty();
            assertThat(directory.visible(12_000).hosts()).containsExactly(host);
            assertThat(directory.visible(12_000).version()).isEqualTo(1);
            assertThat(directory.visible(13_000).hosts()).isEmpty();
        }
    }

    /** Guards against a stand-in that admits a higher rate than the real platform. */
    @Nested
    class RateLimiting {
        @Test
        void throttlesWritesAboveTheRateLimit() throws Exception {
            PlatformOptions options = new PlatformOptions("127.0.0.1", List.of(0), 0, 0, 1);
            try (PlatformServer server = PlatformServer.start(options);
                    StandinClient client = new StandinClient(server.address())) {
                int refused = 0;
                for (int i = 0; i < 20; i++) {
                    int status = client.call("PUT", "/objects/o", "x").statusCode();
                    refused += status == 429 ? 1 : 0;
                }

                assertThat(server.stats().writes()).isEqualTo(20);
                assertThat(server.stats().throttled()).isEqualTo(refused).isPositive();
            }
        }
    }
}
