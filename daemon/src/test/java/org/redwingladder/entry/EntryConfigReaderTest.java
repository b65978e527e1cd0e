package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EntryConfigReaderTest {
    private static final String GOOD =
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
        /** Guards against members that are read under a wrong name or unit. */
        @Test
        void readsAllMembers() throws Exception {
            EntryConfig config = EntryConfigReader.read(GOOD.getBytes(UTF_8));
            assertThat(config.host()).isEqualTo("h1");
            assertThat(config.region()).isEqualTo("r1");
            assertThat(config.seeds()).hasSize(1);
            assertThat(config.size().cores()).isEqualTo(0.42);
            assertThat(config.size().megabitsPerSecond()).isEqualTo(700);
            assertThat(config.bounds().stopMillis()).isEqualTo(6000);
            assertThat(config.bounds().retryWindowMillis()).isEqualTo(10_000);
        }

        /** Guards against settings of a later version that keep a host from starting. */
        @Test
        void ignoresUnknownMembers() throws Exception {
            String text = GOOD.replace("{\"host\"", "{\"later\": [1], \"host\"");
            assertThat(EntryConfigReader.read(text.getBytes(UTF_8)).zone()).isEqualTo("z1");
        }

        /** Guards against an operator who has to find the faults one by one. */
        @Test
        void namesAllFaultsAtOnce() {
            String text =
                    GOOD.replace("\"6s\"", "\"soon\"")
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

        /** Guards against a stack trace for a file that is not JSON. */
        @Test
        void saysThatAFileIsNotJson() {
            assertThatThrownBy(() -> EntryConfigReader.read("{".getBytes(UTF_8)))
                    .isInstanceOf(EntryConfigReader.InvalidConfigException.class)
                    .hasMessageContaining("JSON");
        }
    }
}
