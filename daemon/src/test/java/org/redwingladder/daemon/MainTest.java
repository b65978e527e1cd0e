package org.redwingladder.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
    private static final String VALID =
            """
            {"host": "suva-1", "zone": "suva",
             "listen": {"client": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
             "platform": ["127.0.0.1:7300"], "tokenKey": "0123456789abcdef"}
            """;

    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return Main.create()
                .run(
                        arguments,
                        new PrintStream(new ByteArrayOutputStream()),
                        new PrintStream(mErrors, true, UTF_8));
    }

    @Nested
    class Configuration {
        /** Guards against a reader that reports only the first error of a file. */
        @Test
        void reportsAllErrorsWithTheirPaths() {
            String text =
                    """
                    {"host": "Suva 1", "zone": "suva", "extra": 1, "incarnation": 0,
                     "listen": {"client": "localhost:1", "peer": "127.0.0.1:0"},
                     "platform": ["127.0.0.1:0"], "tokenKey": "short", "limits": {"ioThreads": 0}}
                    """;
            ConfigException thrown =
                    catchThrowableOfType(
                            ConfigException.class,
                            () -> ConfigReader.parse(text.getBytes(UTF_8), () -> 1));
            assertThat(thrown.faults())
                    .extracting(ConfigException.Fault::path)
                    .containsExactlyInAnyOrder(
                            "/extra",
                            "/host",
                            "/incarnation",
                            "/listen/client",
                            "/listen/operator",
                            "/platform/0",
                            "/tokenKey",
                            "/limits/ioThreads");
            assertThat(thrown.faults()).allMatch(fault -> !fault.message().isEmpty());
        }

        /** Guards against a restart with the incarnation of an earlier run. */
        @Test
        void incarnationDefaultsToTheWallClock() throws Exception {
            DaemonConfig config = ConfigReader.parse(VALID.getBytes(UTF_8), () -> 77);
            assertThat(config.incarnation()).isEqualTo(77);
            assertThat(config.limits()).isEqualTo(DaemonConfig.Limits.DEFAULT);
        }
    }

    @Nested
    class ExitCodes {
        @TempDir private Path mDirectory;

        /** Guards against a check that accepts an invalid file or rejects a valid one. */
        @Test
        void checkDistinguishesValidFromInvalidFiles() throws Exception {
            Path valid = Files.writeString(mDirectory.resolve("valid.json"), VALID);
            Path invalid = Files.writeString(mDirectory.resolve("invalid.json"), "{\"host\": 1}");
            assertThat(run("--config", valid.toString(), "--check")).isZero();
            assertThat(run("--config", invalid.toString(), "--check")).isEqualTo(2);
            assertThat(mErrors.toString(UTF_8)).contains("/host: ").contains("/listen");
            assertThat(run("--config", mDirectory.resolve("none").toString())).isEqualTo(2);
            assertThat(run("--conf")).isEqualTo(2);
        }
    }

    @Nested
    class LogLines {
        /** Guards against log lines that are not valid JSON or contain a stack trace. */
        @Test
        void areSingleLineJsonObjectsWithoutStackTrace() throws Exception {
            LogRecord entry = new LogRecord(Level.WARNING, "roster: \"x\"\nsecond line");
            entry.setThrown(new IllegalStateException("cause"));
            String line = new JsonLogFormatter().format(entry);
            assertThat(line).endsWith("\n").doesNotContain("\tat ");
            assertThat(line.trim()).doesNotContain("\n");
            var read = org.redwingladder.http.Json.tree(line.getBytes(UTF_8));
            assertThat(read.path("message").asText()).startsWith("roster: \"x\"");
            assertThat(read.path("error").asText()).contains("cause");
        }
    }
}
