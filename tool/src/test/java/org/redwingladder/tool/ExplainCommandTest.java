package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.redwingladder.http.Json;

class ExplainCommandTest {
    private static final String HEAD =
            "{\"part\":\"request\",\"event\":\"%s\",\"host\":\"%s\",\"time\":%d,\"id\":\"%s\","
                    + "\"route\":\"pay\",\"service\":\"orders\",\"object\":\"7\",\"settings\":4,"
                    + "\"millis\":%d,%s}";

    @TempDir private Path mDirectory;
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    private static String request(
            String event, String host, long time, String id, long millis, String rest) {
        return String.format(HEAD, event, host, time, id, millis, rest);
    }

    private static String state(String event, String host, long time, String rest) {
        return String.format(
                "{\"part\":\"state\",\"event\":\"%s\",\"host\":\"%s\",\"time\":%d,%s}",
                event, host, time, rest);
    }

    private String log(String name, String... lines) throws Exception {
        return Files.writeString(mDirectory.resolve(name), String.join("\n", lines)).toString();
    }

    private int explain(String id, String... files) {
        List<String> words = new ArrayList<>(List.of("explain", "--logs"));
        words.addAll(List.of(files));
        words.add(id);
        return run(words);
    }

    private int run(List<String> words) {
        return ToolMain.run(
                words.toArray(new String[0]),
                new PrintStream(mOut, true, UTF_8),
                new PrintStream(mErr, true, UTF_8));
    }

    private String out() {
        return mOut.toString(UTF_8);
    }

    @Nested
    class Causes {
        /** Guards against a refusal whose reason the engineer has to guess. */
        @Test
        void namesTheWaitAndTheEvacuationOfARefusal() throws Exception {
            String file =
                    log(
                            "h1",
                            state("evacuated", "h1", 1_000, "\"zones\":\"[z1]\""),
                            request(
                                    "refused",
                                    "h1",
                                    2_000,
                                    "r1",
                                    0,
                                    "\"reason\":\"OVERLOADED\",\"wait\":310,\"allowed\":140,"
                                            + "\"servers\":5,\"retryAfter\":270"));
            assertThat(explain("r1", file)).isZero();
            assertThat(out())
                    .contains("waited 310 ms, 140 ms were allowed")
                    .contains("best of 5 servers of orders")
                    .contains("last change: 1000 h1 state: evacuated zones=[z1]");
        }

        /** Guards against a promise of which nobody can tell on what it rests. */
        @Test
        void namesTheProofOfARefusal() throws Exception {
            String file =
                    log(
                            "h1",
                            request(
                                    "refused",
                                    "h1",
                                    2_000,
                                    "r8",
                                    0,
                                    "\"reason\":\"FULL\",\"sends\":\"i-1:0-4:FULL\","
                                            + "\"proof\":\"i-1:FULL\""));
            assertThat(explain("r8", file)).isZero();
            assertThat(out()).contains("proof: i-1:FULL");
        }

        /** Guards against a refusal that hides that servers limit their requests. */
        @Test
        void namesTheRateLimitsOfARefusal() throws Exception {
            String file =
                    log(
                            "h1",
                            state(
                                    "server-limit",
                                    "h1",
                                    1_000,
                                    "\"server\":\"i-1\",\"perSecond\":\"5.3\",\"from\":\"h2\""),
                            request(
                                    "refused",
                                    "h1",
                                    2_000,
                                    "r9",
                                    0,
                                    "\"reason\":\"LIMITED\",\"wait\":0,\"allowed\":0,"
                                            + "\"servers\":0,\"limited\":3,\"retryAfter\":270"));
            assertThat(explain("r9", file)).isZero();
            assertThat(out())
                    .contains("all 3 servers of orders")
                    .contains("limit their requests a second")
                    .contains("server-limit server=i-1 perSecond=5.3 from=h2");
        }

        /** Guards against a lost answer that is laid at the wrong server. */
        @Test
        void namesTheServerThatLostAnAnswer() throws Exception {
            String file =
                    log(
                            "h1",
                            request(
                                    "failed",
                                    "h1",
                                    2_000,
                                    "r2",
                                    412,
                                    "\"status\":502,\"reason\":\"the answer was lost: LOST\","
                                            + "\"last\":\"LOST\","
                                            + "\"sends\":\"i-1:0-4:FULL i-2:4-412:LOST\""));
            assertThat(explain("r2", file)).isZero();
            assertThat(out())
                    .contains("server i-1 turned it away")
                    .contains("server i-2 cut its answer off or sent an unusable one after 408 ms")
                    .contains("it may have run");
        }

        /** Guards against a late answer without its reason. */
        @Test
        void namesWhatMadeAnAnswerLate() throws Exception {
            String file =
                    log(
                            "h1",
                            request(
                                    "answered",
                                    "h1",
                                    2_000,
                                    "r3",
                                    900,
                                    "\"status\":200,\"server\":\"i-2\",\"objective\":400,"
                                            + "\"sent\":300,\"wait\":120,\"work\":160,"
                                            + "\"warm\":\"false\",\"slowPercent\":210,"
                                            + "\"loadPercent\":500,"
                                            + "\"sends\":\"i-1:0-300:LOST i-2:300-900:ANSWERED\""));
            assertThat(explain("r3", file)).isZero();
            assertThat(out())
                    .contains("after 900 ms, objective 400 ms")
                    .contains("left after 300 ms")
                    .contains("wait of 120 ms")
                    .contains("did not know the object")
                    .contains("210% of the usual");
        }

        /** Guards against a request that has not run and is reported as if it may have. */
        @Test
        void saysThatAnUnsentRequestHasNotRun() throws Exception {
            String file =
                    log(
                            "h1",
                            request(
                                    "failed",
                                    "h1",
                                    2_000,
                                    "r4",
                                    1,
                                    "\"status\":503,\"reason\":\"the host stops\","
                                            + "\"last\":\"FULL\",\"sends\":\"\""));
            assertThat(explain("r4", file)).isZero();
            assertThat(out()).contains("it was not sent; it has not run");
        }
    }

    @Nested
    class RestoredStore {
        /** Nothing else tells that servers are not used because the store went back. */
        @Test
        void isNamedAsTheLastChangeOfTheServers() throws Exception {
            String refused = "\"reason\":\"NO_SERVER\",\"wait\":0,\"allowed\":0,\"servers\":0";
            String restored =
                    "{\"part\":\"store\",\"event\":\"restored\",\"host\":\"h1\",\"time\":1000,"
                            + "\"table\":\"SERVERS\",\"position\":900,\"to\":300,\"era\":2}";
            String file = log("h1", restored, request("refused", "h1", 2_000, "r6", 0, refused));
            assertThat(explain("r6", file)).isZero();
            assertThat(out())
                    .contains("last change: 1000 h1 store: restored table=SERVERS position=900");
        }
    }

    @Nested
    class Reading {
        /** Guards against an incomplete view of a request that two hosts had. */
        @Test
        void joinsTheLinesOfAllHostsByTime() throws Exception {
            String refused = "\"reason\":\"NO_SERVER\",\"wait\":0,\"allowed\":0,\"servers\":0";
            String answered =
                    "\"status\":200,\"server\":\"i\",\"objective\":400,\"sent\":0,\"wait\":0,"
                            + "\"work\":9,\"warm\":\"true\",\"slowPercent\":100,"
                            + "\"sends\":\"i:0-9:ANSWERED\"";
            String later = log("h2", request("answered", "h2", 3_000, "r5", 9, answered));
            String first = log("h1", request("refused", "h1", 2_000, "r5", 0, refused));
            assertThat(explain("r5", later, first)).isZero();
            assertThat(out()).containsSubsequence("h1 request: refused", "h2 request: answered");
        }

        /** Guards against a damaged line that hides the others. */
        @Test
        void countsBadLinesAndGoesOn() throws Exception {
            String file =
                    log(
                            "h1",
                            "{\"part\":\"request\",\"event\":",
                            "not json",
                            "[1]",
                            "{\"part\":\"log\",\"event\":\"dropped\",\"time\":5,\"lines\":7}",
                            request(
                                    "denied",
                                    "h1",
                                    2_000,
                                    "r6",
                                    0,
                                    "\"status\":404,\"reason\":\"no route\""));
            assertThat(explain("r6", file)).isZero();
            assertThat(out())
                    .contains("cause: h1 answered 404: no route")
                    .contains("3 lines could not be read")
                    .contains("dropped 7 lines");
        }

        /** Guards against a success for an id that no log holds. */
        @Test
        void failsForAnUnknownId() throws Exception {
            assertThat(explain("r7", log("h1", ""))).isEqualTo(ExitCode.FAILURE.code());
            assertThat(out()).contains("no line names request r7");
        }

        /** Guards against a stack trace for a file that is not there. */
        @Test
        void namesAFileThatCannotBeRead() {
            assertThat(explain("r8", mDirectory.resolve("none").toString()))
                    .isEqualTo(ExitCode.FAILURE.code());
            assertThat(mErr.toString(UTF_8)).contains("none").doesNotContain("\tat ");
        }

        /** Guards against an output that programs cannot read. */
        @Test
        void printsJson() throws Exception {
            String file =
                    log(
                            "h1",
                            request(
                                    "denied",
                                    "h1",
                                    2_000,
                                    "r9",
                                    0,
                                    "\"status\":404,\"reason\":\"no route\""));
            assertThat(run(List.of("explain", "--output", "json", "--logs", file, "r9"))).isZero();
            JsonNode node = Json.tree(mOut.toByteArray());
            assertThat(node.path("found").asBoolean()).isTrue();
            assertThat(node.path("request").path(0).path("event").asText()).isEqualTo("denied");
            assertThat(node.path("causes").path(0).asText()).contains("no route");
        }
    }

    @Nested
    class Usage {
        /** Guards against a command that does nothing without saying what it lacks. */
        @Test
        void needsAHostOrLogs() {
            assertThat(run(List.of("explain", "r1"))).isEqualTo(ExitCode.USAGE.code());
            assertThat(mErr.toString(UTF_8)).contains("--operator").contains("--logs");
            assertThat(run(List.of("explain", "--logs", "r1"))).isEqualTo(ExitCode.USAGE.code());
        }
    }
}
