package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.redwingladder.http.Json;

class ToolMainTest {
    private final ConcurrentMap<String, String> mAnswers = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, String> mSeen = new ConcurrentHashMap<>();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private HttpServer mServer;
    private String mAddress;

    @TempDir private Path mDirectory;

    @BeforeEach
    void start() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext("/", this::handle);
        mServer.start();
        mAddress = "127.0.0.1:" + mServer.getAddress().getPort();
    }

    @AfterEach
    void stop() {
        mServer.stop(0);
    }

    /** Answers with "status body" as set for the method and path; closes if nothing is set. */
    private void handle(HttpExchange exchange) throws IOException {
        String key = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
        String headers =
                exchange.getRequestHeaders().getFirst("If-Match")
                        + " "
                        + exchange.getRequestHeaders().getFirst("Redwing-Team");
        mSeen.put(key, headers + " " + new String(exchange.getRequestBody().readAllBytes(), UTF_8));
        String answer = mAnswers.get(key);
        if (answer != null) {
            byte[] body = answer.substring(4).getBytes(UTF_8);
            String id = exchange.getRequestHeaders().getFirst("Redwing-Request-Id");
            if (id != null) {
                exchange.getResponseHeaders().set("Redwing-Request-Id", id);
            }
            exchange.sendResponseHeaders(
                    Integer.parseInt(answer.substring(0, 3)), body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    private int run(String line) {
        String[] args = line.replace("HOST", mAddress).split(" ");
        return ToolMain.run(args, new PrintStream(mOut), new PrintStream(mErr));
    }

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static String error(String reason, String outcome) {
        return "{\"error\":{\"reason\":\"%s\",\"outcome\":\"%s\",\"retryAt\":0,\"message\":\"m\"}}"
                .formatted(reason, outcome);
    }

    /** Guards against scripts that take one result for another. */
    @Nested
    class ExitCodes {
        @Test
        void usageErrorsNameTheOption() {
            assertThat(run("nonsense")).isEqualTo(2);
            assertThat(run("lookup --service s --block x --entry HOST")).isEqualTo(2);
            assertThat(run("status --operator nowhere")).isEqualTo(2);
            assertThat(run("settings put teams --operator HOST --team-key k --value 1"))
                    .isEqualTo(2);
            assertThat(mErr.toString(UTF_8))
                    .contains("no command nonsense", "\"x\" is not a valid value", "--operator:")
                    .doesNotContain("\tat ");
        }

        @Test
        void helpSucceeds() {
            assertThat(run("--help")).isZero();
            for (String name : new String[] {"load", "settings put", "request", "members"}) {
                mOut.reset();
                assertThat(run(name + " --help")).isZero();
                assertThat(mOut.toString(UTF_8)).contains("--output", "exit codes:");
            }
        }

        @Test
        void unreachableHostIsAFailure() throws IOException {
            assertThat(run("status --operator " + unusedAddress())).isEqualTo(1);
            assertThat(mErr.toString(UTF_8)).contains("cannot reach").doesNotContain("\tat ");
        }

        @Test
        void conflictNamesTheChangeThatWon() {
            mAnswers.put(
                    "PUT /v1/settings/tree/teams/store",
                    "409 {\"error\":{\"reason\":\"conflict\",\"message\":\"change c7 won\"}}");

            assertThat(
                            run(
                                    "settings put /teams/store --operator HOST --team-key k"
                                            + " --if-match 3 --value {}"))
                    .isEqualTo(3);
            assertThat(mErr.toString(UTF_8)).contains("change c7 won");
            assertThat(mSeen.get("PUT /v1/settings/tree/teams/store")).isEqualTo("3 store {}");
        }

        @Test
        void putTakesTheSubtreeVersionOfNow() {
            mAnswers.put("GET /v1/settings/tree/deployment", "200 {\"subtreeVersion\":12}");
            mAnswers.put("PUT /v1/settings/tree/deployment/blockCount", "200 {\"version\":13}");

            assertThat(
                            run(
                                    "settings put /deployment/blockCount --operator HOST"
                                            + " --team-key k --value 10"))
                    .isZero();
            assertThat(mOut.toString(UTF_8)).contains("accepted as version 13");
            assertThat(mSeen.get("PUT /v1/settings/tree/deployment/blockCount"))
                    .isEqualTo("12 deployment 10");
        }

        @Test
        void lostAnswerToAPutIsUnknown() {
            assertThat(
                            run(
                                    "settings put /teams/store --operator HOST --team-key k"
                                            + " --if-match 3 --value {} --change-id c9"))
                    .isEqualTo(4);
            assertThat(mErr.toString(UTF_8)).contains("settings check c9");
        }

        @Test
        void checkTellsThreeStatesApart() {
            String path = "GET /v1/settings/changes/c1";
            mAnswers.put(path, "200 {\"state\":\"accepted\",\"version\":4}");
            assertThat(run("settings check c1 --operator HOST")).isZero();
            mAnswers.put(path, "200 {\"state\":\"not-accepted\"}");
            assertThat(run("settings check c1 --operator HOST")).isEqualTo(1);
            mAnswers.put(path, "503 " + error("platform-unavailable", "unknown"));
            assertThat(run("settings check c1 --operator HOST")).isEqualTo(4);
        }

        @Test
        void invalidSettingsFileIsAFailure() throws IOException {
            Path file = mDirectory.resolve("settings.json");
            Files.writeString(file, "{\"deployment\":");

            assertThat(run("settings validate " + file + " --output json")).isEqualTo(1);
            JsonNode node = Json.tree(mOut.toByteArray());
            assertThat(node.path("valid").asBoolean()).isFalse();
            assertThat(node.at("/errors/0/message").asText()).contains("line 1");
        }
    }

    /** Guards against a request command that reports work as not run although it may have run. */
    @Nested
    class Requests {
        private static final String PATH = "POST /v1/services/store/pay";
        private static final String COMMAND =
                "request /pay --service store --block 1 --method POST --entry HOST --timeout 5000";

        private void answerLookups() {
            mAnswers.put(
                    "GET /v1/lookup",
                    "200 {\"service\":\"store\",\"block\":1,\"entryHosts\":[{\"host\":\"h\","
                            + "\"zone\":\"z\",\"address\":\""
                            + mAddress
                            + "\"}],\"expiresAt\":9000000000000,\"settingsVersion\":1}");
        }

        @Test
        void exitCodesFollowTheOutcome() {
            answerLookups();
            mAnswers.put(PATH, "200 paid");
            assertThat(run(COMMAND)).isZero();
            assertThat(mOut.toString(UTF_8)).contains("paid");
            mAnswers.put(PATH, "404 nothing");
            assertThat(run(COMMAND)).isEqualTo(1);
            mAnswers.put(PATH, "404 " + error("unknown-service", "not-run"));
            assertThat(run(COMMAND)).isEqualTo(5);
            mAnswers.put(PATH, "502 " + error("backend-lost", "unknown"));
            assertThat(run(COMMAND)).isEqualTo(4);
            mAnswers.remove(PATH);
            assertThat(run(COMMAND)).isEqualTo(4);
        }

        @Test
        void jsonListsTheAttempts() throws IOException {
            answerLookups();
            mAnswers.put(PATH, "502 " + error("backend-lost", "unknown"));

            run(COMMAND + " --output json --request-id r1");

            JsonNode node = Json.tree(mOut.toByteArray());
            assertThat(node.path("exitCode").asInt()).isEqualTo(4);
            assertThat(node.at("/details/attempts")).hasSize(1);
            assertThat(node.at("/details/attempts/0/requestId").asText()).isEqualTo("r1.1");
        }

        @Test
        void lookupsThatAreRefusedExitWithFive() {
            mAnswers.put("GET /v1/lookup", "503 " + error("not-ready", "not-run"));

            assertThat(run("lookup --service store --block 1 --entry HOST")).isEqualTo(5);
            assertThat(run(COMMAND)).isEqualTo(5);
        }
    }

    /** Guards against a load that reports lost answers as whole. */
    @Nested
    class Loads {
        @Test
        void accountsForEveryRequest() throws IOException {
            mAnswers.put(
                    "GET /v1/lookup",
                    "200 {\"service\":\"store\",\"block\":1,\"entryHosts\":[{\"host\":\"h\","
                            + "\"zone\":\"z\",\"address\":\""
                            + mAddress
                            + "\"}],\"expiresAt\":9000000000000,\"settingsVersion\":1}");
            mAnswers.put("GET /v1/services/store/right", "200 answer");
            Path plan = mDirectory.resolve("plan.json");
            Path records = mDirectory.resolve("records.jsonl");
            Files.writeString(
                    plan,
                    "{\"seed\":5,\"durationMillis\":200,\"lastBlock\":0,\"clients\":1,\"streams\":["
                            + "{\"name\":\"right\",\"service\":\"store\",\"path\":\"/right\","
                            + "\"requestsPerSecond\":200},"
                            + "{\"name\":\"lost\",\"service\":\"store\",\"path\":\"/lost\","
                            + "\"method\":\"POST\",\"requestsPerSecond\":200}]}");

            int exit = run("load " + plan + " --entry HOST --output json --records " + records);

            assertThat(exit).isZero();
            JsonNode report = Json.tree(mOut.toByteArray());
            JsonNode right = report.at("/streams/right");
            JsonNode lost = report.at("/streams/lost");
            assertThat(right.path("whole").asInt())
                    .isEqualTo(right.path("requests").asInt())
                    .isPositive();
            assertThat(lost.path("whole").asInt()).isZero();
            assertThat(lost.path("unknown").asInt()).isEqualTo(lost.path("requests").asInt());
            assertThat(Files.readAllLines(records))
                    .hasSize(report.at("/services/store/requests").asInt());
        }

        @Test
        void badPlanNamesTheMember() throws IOException {
            Path plan = mDirectory.resolve("plan.json");
            Files.writeString(plan, "{\"streams\":[],\"durationMillis\":1}");
            assertThat(run("load " + plan + " --entry HOST")).isEqualTo(2);
            Files.writeString(
                    plan, "{\"streams\":[{\"service\":\"s\",\"path\":\"/\",\"rate\":1}]}");
            assertThat(run("load " + plan + " --entry HOST")).isEqualTo(2);
            assertThat(mErr.toString(UTF_8))
                    .contains("plan.json: streams: at least one", "\"rate\"");
        }
    }
}
