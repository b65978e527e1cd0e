package org.redwingladder.standin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BackendServerTest {
    private static final String ID = "Redwing-Request-Id";
    private static final String LONG_REQUEST = "/work?millis=600000";

    private BackendServer mServer;
    private StandinClient mClient;

    @BeforeEach
    void start() throws IOException {
        mServer =
                BackendServer.start(
                        BackendConfig.of(
                                "b1", 2, List.of(new BackendConfig.PathClass("/", 1, 0, 64))));
        mClient = new StandinClient(mServer.address());
    }

    @AfterEach
    void stop() {
        mClient.close();
        mServer.close();
    }

    private HttpResponse<String> get(String id) throws IOException, InterruptedException {
        return mClient.call("GET", "/work", "", ID, id);
    }

    private void inject(String json) throws IOException {
        mServer.inject(BackendFaults.parse(json));
    }

    /**
     * Sends a request on a new connection and returns the received bytes once {@code enough}
     * accepts them.
     */
    private String raw(String request, Predicate<String> enough) throws IOException {
        String[] address = mServer.address().split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(request.getBytes(UTF_8));
            StringBuilder text = new StringBuilder();
            byte[] buffer = new byte[4096];
            while (!enough.test(text.toString())) {
                int count = socket.getInputStream().read(buffer);
                assertThat(count).as("bytes after %s", text).isPositive();
                text.append(new String(buffer, 0, count, UTF_8));
            }
            return text.toString();
        }
    }

    private static String body(String response) {
        int end = response.indexOf("\r\n\r\n");
        return end < 0 ? "" : response.substring(end + 4);
    }

    private static String rawGet(String id) {
        return "GET /work?bytes=20 HTTP/1.1\r\nHost: b\r\n" + ID + ": " + id + "\r\n\r\n";
    }

    /** Guards against a journal that omits executed requests or contains refused ones. */
    @Nested
    class RequestExecution {
        @Test
        void echoesRequestIdAndRecordsRun() throws Exception {
            HttpResponse<String> response = get("r1");

            assertThat(response.headers().firstValue(ID)).contains("r1");
            assertThat(response.headers().firstValue("Redwing-Backend")).contains("b1");
            assertThat(response.body()).startsWith("r1\n").hasSize(64);
            assertThat(mServer.journal().runsOf("r1"))
                    .singleElement()
                    .satisfies(run -> assertThat(run.end()).isEqualTo("completed"));
        }

        @Test
        void refusesExpiredRequestsWithoutExecutingThem() throws Exception {
            for (String header : List.of("Redwing-Start-By", "Redwing-Deadline")) {
                HttpResponse<String> response =
                        mClient.call("POST", "/work", "x", ID, header, header, "1000");

                assertThat(response.statusCode()).isEqualTo(503);
                assertThat(response.headers().firstValue("Redwing-Not-Run")).contains("true");
                assertThat(response.body()).contains("deadline-expired");
                assertThat(mServer.journal().runsOf(header)).isEmpty();
            }
        }

        /** Guards against refused requests that count as in flight. */
        @Test
        void expiredRequestsAreNotCountedAsInFlight() throws Exception {
            mClient.call("POST", "/work", "x", "Redwing-Start-By", "1000");

            assertThat(mServer.stats().expired()).isEqualTo(1);
            assertThat(mServer.stats().maxInFlight()).isZero();
        }

        @Test
        void shedsRequestsWhenSlotsAndQueueAreFull() throws Exception {
            for (int i = 0; i < 4; i++) {
                mClient.start("GET", LONG_REQUEST, "", ID, "held" + i);
            }
            StandinClient.await(() -> mServer.stats().inFlight() == 4);

            HttpResponse<String> response = get("r5");

            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("Redwing-Not-Run")).contains("true");
            assertThat(mServer.journal().runsOf("r5")).isEmpty();
            assertThat(mServer.stats().started()).isEqualTo(2);
        }

        @Test
        void closedConnectionCancelsRunningAndQueuedRequests() throws Exception {
            CompletableFuture<HttpResponse<String>> first =
                    mClient.start("GET", LONG_REQUEST, "", ID, "first");
            CompletableFuture<HttpResponse<String>> second =
                    mClient.start("POST", LONG_REQUEST, "body", ID, "second");
            StandinClient.await(() -> mServer.stats().started() == 2);
            CompletableFuture<HttpResponse<String>> waiting =
                    mClient.start("GET", LONG_REQUEST, "", ID, "waiting");
            StandinClient.await(() -> mServer.stats().inFlight() == 3);

            waiting.cancel(true);
            StandinClient.await(() -> mServer.stats().inFlight() == 2);
            first.cancel(true);
            second.cancel(true);
            StandinClient.await(() -> mServer.stats().inFlight() == 0);

            assertThat(mServer.journal().runsOf("waiting")).isEmpty();
            assertThat(mServer.journal().runsOf("second").get(0).end()).isEqualTo("cancelled");
            assertThat(mServer.stats().cancelled()).isEqualTo(2);
            assertThat(get("after").statusCode()).isEqualTo(200);
        }

        @Test
        void closesConnectionsAboveTheLimit() throws Exception {
            BackendConfig config =
                    new BackendConfig("b2", null, 0, 2, 1, null, 0, 0, 0, 1, null, null, 1);
            try (BackendServer server = BackendServer.start(config);
                    StandinClient client = new StandinClient(server.address())) {
                client.start("GET", LONG_REQUEST, "", ID, "held");
                StandinClient.await(() -> server.stats().inFlight() == 1);

                assertThatThrownBy(() -> client.call("GET", "/work", "x"))
                        .isInstanceOf(IOException.class);
            }
        }
    }

    /** Guards against injected response defects that a receiver could not detect. */
    @Nested
    class FaultyResponses {
        @Test
        void truncatedBodyIsShorterThanContentLength() throws Exception {
            inject("{\"truncateBody\":1}");

            assertThatThrownBy(() -> get("r1")).isInstanceOf(IOException.class);
            assertThat(get("r2").body()).startsWith("r2\n");
        }

        @Test
        void understatedContentLengthLeavesExcessBytesOnConnection() throws Exception {
            inject("{\"wrongLength\":1}");

            String bytes = raw(rawGet("r1"), text -> body(text).length() >= 20);

            assertThat(bytes).contains("Content-Length: 13").contains("\r\n\r\nr1\n");
            assertThat(body(bytes)).hasSize(20);
        }

        @Test
        void overstatedContentLengthLeavesConnectionOpen() throws Exception {
            inject("{\"wrongLength\":1,\"wrongLengthBy\":5}");

            String bytes = raw(rawGet("r1"), text -> body(text).length() >= 20);

            assertThat(bytes).contains("Content-Length: 25").contains("\r\n\r\nr1\n");
        }

        @Test
        void duplicateResponseIsSentTwice() throws Exception {
            inject("{\"duplicateAnswer\":1}");

            String bytes = raw(rawGet("r1"), text -> text.split("\r\n\r\nr1\n", -1).length == 3);

            assertThat(bytes.split("HTTP/1.1 200 OK", -1)).hasSize(3);
        }

        @Test
        void invalidResponseHasAStatusOfZero() throws Exception {
            inject("{\"invalidAnswer\":1}");

            String bytes = raw(rawGet("r1"), text -> text.contains("\r\n\r\nr1\n"));

            assertThat(bytes).startsWith("HTTP/1.1 000 ");
        }

        @Test
        void crossedResponseRepeatsThePreviousOne() throws Exception {
            get("r1");
            inject("{\"crossAnswer\":1}");

            HttpResponse<String> response = get("r2");

            assertThat(response.headers().firstValue(ID)).contains("r1");
            assertThat(response.body()).startsWith("r1\n");
        }

        @Test
        void lateResponseArrivesAfterTheDeadlineAndReleasesTheSlot() throws Exception {
            inject("{\"lateAnswer\":1}");
            long deadline = System.currentTimeMillis() + 500;

            CompletableFuture<HttpResponse<String>> response =
                    mClient.start(
                            "GET",
                            "/work",
                            "",
                            ID,
                            "r1",
                            "Redwing-Deadline",
                            Long.toString(deadline));
            StandinClient.await(() -> mServer.stats().completed() == 1);
            assertThat(mServer.stats().inFlight()).isZero();
            response.join();

            assertThat(System.currentTimeMillis()).isGreaterThan(deadline);
        }
    }

    /** Guards against load reports and states that are wrong although no such fault is injected. */
    @Nested
    class LoadReports {
        @Test
        void reportsLoadAndState() throws Exception {
            mClient.start("GET", LONG_REQUEST, "", ID, "held");
            StandinClient.await(() -> mServer.stats().inFlight() == 1);

            JsonNode load = mClient.json("GET", "/load", "");

            assertThat(load.path("inFlight").asInt()).isEqualTo(1);
            assertThat(load.path("slots").asInt()).isEqualTo(2);
            assertThat(load.path("state").asText()).isEqualTo("serving");
        }

        @Test
        void laggingReportOmitsCurrentLoad() throws Exception {
            inject("{\"loadLagMillis\":50000}");
            mClient.start("GET", LONG_REQUEST, "", ID, "held");
            StandinClient.await(() -> mServer.stats().inFlight() == 1);

            JsonNode load = mClient.json("GET", "/load", "");

            assertThat(load.path("inFlight").asInt()).isZero();
            assertThat(load.path("reportedAt").asLong())
                    .isLessThanOrEqualTo(System.currentTimeMillis() - 50_000);
        }

        @Test
        void wrongLoadIsInReportAndHeader() throws Exception {
            inject("{\"wrongLoad\":99}");

            assertThat(mClient.json("GET", "/load", "").path("inFlight").asInt()).isEqualTo(99);
            assertThat(get("r1").headers().firstValue("Redwing-Load")).contains("99/2");
        }

        @Test
        void drainingServerStillExecutesRequests() throws Exception {
            inject("{\"draining\":true}");

            HttpResponse<String> response = get("r1");

            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.headers().firstValue("Redwing-State")).contains("draining");
            assertThat(mServer.journal().runsOf("r1")).hasSize(1);
        }
    }

    /** Guards against a server that is down but still accepts or completes requests. */
    @Nested
    class ServerDown {
        @Test
        void refusesConnectionsAndRecoversOnTheSamePort() throws Exception {
            CompletableFuture<HttpResponse<String>> running =
                    mClient.start("GET", LONG_REQUEST, "", ID, "running");
            StandinClient.await(() -> mServer.stats().started() == 1);

            inject("{\"down\":true}");

            assertThatThrownBy(running::join).hasCauseInstanceOf(IOException.class);
            assertThatThrownBy(() -> get("r1")).isInstanceOf(ConnectException.class);
            assertThat(mServer.journal().runsOf("running").get(0).end()).isEqualTo("cancelled");
            inject("{}");
            assertThat(get("r2").statusCode()).isEqualTo(200);
        }

        @Test
        void groupAdminListenerStaysReachable() throws Exception {
            try (BackendGroup group =
                            BackendGroup.start(
                                    List.of(BackendConfig.of("c1", 1), BackendConfig.of("c2", 1)),
                                    "127.0.0.1",
                                    0);
                    StandinClient admin = new StandinClient(group.adminAddress())) {
                admin.json("POST", "/servers/c1/admin/faults", "{\"down\":true}");
                admin.json("POST", "/servers/c1/admin/faults", "{\"shed\":true}");

                JsonNode faults = admin.json("GET", "/servers/c1/admin/faults", "");

                assertThat(faults.path("shed").asInt()).isEqualTo(-1);
                assertThat(admin.json("GET", "/servers", "").path("servers")).hasSize(2);
            }
        }
    }

    /** Guards against service times that do not follow the configuration. */
    @Nested
    class ServiceTimeSampling {
        private final BackendConfig.PathClass mClass = new BackendConfig.PathClass("/", 10, 0, 1);

        @Test
        void slowFactorExpires() throws Exception {
            ServiceTimeSampler times = new ServiceTimeSampler(BackendConfig.of("b", 1), 0);
            BackendFaults faults = BackendFaults.parse("{\"slowFactor\":10,\"slowUntil\":5000}");

            assertThat(times.sample(mClass, faults, 4_999)).isEqualTo(100);
            assertThat(times.sample(mClass, faults, 5_000)).isEqualTo(10);
        }

        @Test
        void coldStartFactorDecreasesLinearly() {
            BackendConfig cold =
                    new BackendConfig("b", null, 0, 1, 0, null, 0, 0, 1_000, 5, null, null, 1);
            ServiceTimeSampler times = new ServiceTimeSampler(cold, 0);

            assertThat(times.sample(mClass, BackendFaults.NONE, 0)).isEqualTo(50);
            assertThat(times.sample(mClass, BackendFaults.NONE, 500)).isEqualTo(30);
            assertThat(times.sample(mClass, BackendFaults.NONE, 1_000)).isEqualTo(10);
        }

        @Test
        void slowPeriodsAreDeterministicForASeed() {
            BackendConfig config =
                    new BackendConfig(
                            "b",
                            null,
                            0,
                            1,
                            0,
                            null,
                            0,
                            0,
                            0,
                            1,
                            new BackendConfig.SlowPeriods(1_000, 100, 7),
                            null,
                            11);
            ServiceTimeSampler times = new ServiceTimeSampler(config, 0);
            ServiceTimeSampler same = new ServiceTimeSampler(config, 0);
            int slow = 0;
            for (long now = 0; now < 100_000; now += 10) {
                double factor = times.factor(BackendFaults.NONE, now);
                assertThat(same.factor(BackendFaults.NONE, now)).isEqualTo(factor);
                slow += factor == 7 ? 1 : 0;
            }

            // A slow period lasts 100 ms, and one begins every 1100 ms on average.
            assertThat(slow).isBetween(600, 1_300);
        }
    }
}
