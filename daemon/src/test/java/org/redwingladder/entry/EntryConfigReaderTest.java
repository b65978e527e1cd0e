package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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

    @Nested
    class Read {
        /** Guards against members parsed under a wrong name or in a wrong unit. */
        @Test
        void parsesNamesAndUnits() throws Exception {
            EntryConfig config = EntryConfigReader.read(VALID.getBytes(UTF_8));
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
            assertThat(EntryConfigReader.read(text.getBytes(UTF_8)).zone()).isEqualTo("z1");
        }

        /** Guards against error messages that name only the first of several errors. */
        @Test
        void reportsAllErrorsAtOnce() {
            String text =
                    VALID.replace("\"6s\"", "\"soon\"")
                            .replace("\"10.0.0.1:2\"", "7")
                            .replace("\"z1\", \"regionOf", "\"z9\", \"regionOf")
                            .replace("\"retryRatio\": 0.2", "\"retryRatio\": -1");
            assertThatThrownBy(() -> EntryConfigReader.read(text.getBytes(UTF_8)))
                    .isInstanceOf(EntryConfigReader.InvalidConfigException.class)
                    .hasMessageContaining("bounds.stop")
                    .hasMessageContaining("listen.readiness")
                    .hasMessageContaining("z9")
                    .hasMessageContaining("bounds.retryRatio");
        }

        /** Guards against an unchecked exception for a file that is not JSON. */
        @Test
        void rejectsTextThatIsNotJson() {
            assertThatThrownBy(() -> EntryConfigReader.read("{".getBytes(UTF_8)))
                    .isInstanceOf(EntryConfigReader.InvalidConfigException.class)
                    .hasMessageContaining("JSON");
        }
    }
}
