package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.redwingladder.steering.HostResources;

class EntryConfigReaderTest {
    private static final String VALID =
            """
            {"host": "h1", "zone": "z1", "regionOfZone": {"z1": "r1"},
             "listen": {"clients": "10.0.0.1:1", "readiness": "10.0.0.1:2",
                        "lookups": "10.0.0.1:3", "peers": "10.0.0.1:4"},
             "seeds": ["10.0.0.2:4"], "store": "10.0.0.9:5",
             "size": {"cores": 1, "partOfEachCore": 0.42, "linkMegabits": 700.0},
             "bounds": {"stop": "6s", "lookupLifetime": "5s", "retryRatio": 0.2,
                        "retryAllowance": 130, "retryWindow": "10s"}}
            """;

    private static EntryConfig read(String text, Map<String, String> environment)
            throws EntryConfigReader.InvalidConfigException {
        return EntryConfigReader.read(text.getBytes(UTF_8), environment);
    }

    @Nested
    class Read {
        /** Guards against members parsed under a wrong name or in a wrong unit. */
        @Test
        void parsesNamesAndUnits() throws Exception {
            EntryConfig config = read(VALID, Map.of());
            assertThat(config.host()).isEqualTo("h1");
            assertThat(config.region()).isEqualTo("r1");
            assertThat(config.seeds()).hasSize(1);
            assertThat(config.size().cores()).isEqualTo(0.42);
            assertThat(config.size().megabitsPerSecond()).isEqualTo(700);
            assertThat(config.bounds().stopMillis()).isEqualTo(6000);
            assertThat(config.bounds().retryWindowMillis()).isEqualTo(10_000);
        }

        /** Guards against start failures with configuration files of a later version. */
        @Test
        void ignoresUnknownMembers() throws Exception {
            String text = VALID.replace("{\"host\"", "{\"later\": [1], \"host\"");
            assertThat(read(text, Map.of()).zone()).isEqualTo("z1");
        }

        /** Guards against error messages that name only the first of several errors. */
        @Test
        void reportsAllErrorsAtOnce() {
            String text =
                    VALID.replace("\"6s\"", "\"soon\"")
                            .replace("\"10.0.0.1:2\"", "7")
                            .replace("\"z1\", \"regionOf", "\"z9\", \"regionOf")
                            .replace("\"retryRatio\": 0.2", "\"retryRatio\": -1");
            assertThatThrownBy(() -> read(text, Map.of()))
                    .isInstanceOf(EntryConfigReader.InvalidConfigException.class)
                    .hasMessageContaining("bounds.stop")
                    .hasMessageContaining("listen.readiness")
                    .hasMessageContaining("z9")
                    .hasMessageContaining("bounds.retryRatio");
        }

        /** Guards against an unchecked exception for a file that is not JSON. */
        @Test
        void rejectsTextThatIsNotJson() {
            assertThatThrownBy(() -> read("{", Map.of()))
                    .isInstanceOf(EntryConfigReader.InvalidConfigException.class)
                    .hasMessageContaining("JSON");
        }
    }

    @Nested
    class Descriptors {
        private final String mFile =
                VALID.replace("\"linkMegabits\"", "\"descriptors\": 2000, \"linkMegabits\"");

        private static Map<String, String> variable(String value) {
            return Map.of(EntryConfigReader.DESCRIPTORS_VARIABLE, value);
        }

        /** Guards against a limit of the process that only a new member of the file can state. */
        @Test
        void areThoseOfTheVariable() throws Exception {
            assertThat(read(VALID, variable("2870")).size().descriptors()).isEqualTo(2870);
            assertThat(read(mFile, variable("2870")).size().descriptors()).isEqualTo(2870);
        }

        /** Guards against files of earlier starters that no longer start a host. */
        @Test
        void areThoseOfTheFileOrTheDefaultWithoutTheVariable() throws Exception {
            assertThat(read(mFile, variable("")).size().descriptors()).isEqualTo(2000);
            assertThat(read(mFile, Map.of()).size().descriptors()).isEqualTo(2000);
            assertThat(read(VALID, Map.of()).size().descriptors())
                    .isEqualTo(HostResources.DEFAULT_DESCRIPTORS);
        }

        /** Guards against a host that starts with a limit at which it cannot work. */
        @ParameterizedTest
        @ValueSource(strings = {"many", "-1", "399", "2870.5", "99999999999"})
        void rejectUnusableVariable(String value) {
            assertThatThrownBy(() -> read(VALID, variable(value)))
                    .isInstanceOf(EntryConfigReader.InvalidConfigException.class)
                    .hasMessageContaining(EntryConfigReader.DESCRIPTORS_VARIABLE)
                    .hasMessageContaining(value);
        }
    }
}
