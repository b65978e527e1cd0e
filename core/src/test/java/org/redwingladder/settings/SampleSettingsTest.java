package org.redwingladder.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SampleSettingsTest {
    @Nested
    class Samples {
        /** Guards against sample settings that are invalid or incomplete. */
        @ParameterizedTest
        @CsvSource({"tabua, 44, 164, 23", "guild, 40, 276, 22"})
        void areValidAndComplete(String name, int servers, int slots, int hosts) throws Exception {
            Path directory = Path.of("..", "samples", name);
            String json = Files.readString(directory.resolve("settings.json"));

            Settings settings = SettingsCodec.read(json);

            assertThat(settings.zones()).hasSize(6);
            assertThat(settings.sites()).hasSize(18);
            assertThat(settings.backendServers()).hasSize(servers);
            assertThat(settings.backendServers().values().stream().mapToInt(b -> b.slots()).sum())
                    .isEqualTo(slots);
            for (Site site : settings.sites()) {
                assertThat(settings.backendServers(site)).as(site.toString()).isNotEmpty();
                assertThat(SiteQuotas.of(settings, site).caps()).hasSize(3);
                assertThat(SiteQuotas.of(settings, site).links()).hasSize(2);
            }
            try (var files = Files.list(directory.resolve("hosts"))) {
                assertThat(files.count()).isEqualTo(hosts);
            }
        }
    }
}
