package org.redwingladder.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsValidatorTest {
    private static final String STORE = "/teams/store";

    /** Replaces the value at {@code path} of the valid document, or removes it. */
    private static ObjectNode with(String path, String json) throws Exception {
        ObjectNode document = TestSettings.document();
        int slash = path.lastIndexOf('/');
        ObjectNode parent = (ObjectNode) document.at(path.substring(0, slash));
        parent.set(path.substring(slash + 1), SettingsCodec.parse(json));
        return document;
    }

    @Nested
    class ValidDocument {
        /** Guards against settings that change in a JSON round trip. */
        @Test
        void survivesJsonRoundTrip() throws Exception {
            Settings settings = SettingsCodec.read(TestSettings.document());

            assertThat(SettingsCodec.read(SettingsCodec.write(settings))).isEqualTo(settings);
            assertThat(settings.regionOf("nadi")).isEqualTo("viti");
            assertThat(settings.oneWayMillis("vanua", "viti")).isEqualTo(20);
            assertThat(settings.caps().get("checkout-any").inFlight()).isEqualTo(32);
        }
    }

    @Nested
    class SingleError {
        /** Guards against an error that is not detected or is reported at another path. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "/deployment/blokCount|7|/deployment/blokCount|unknown field",
                    "/deployment/blockCount|\"7\"|/deployment/blockCount|string instead of",
                    "/deployment/blockCount|2000|/deployment/blocks|not in any range",
                    "/deployment/blocks/b1/first|400|/deployment/blocks/b1/first|overlaps",
                    "/deployment/blocks/b1/last|1000|/deployment/blocks/b1/last|not a block",
                    "/deployment/blocks/b1/region|\"suva\"|/deployment/blocks/b1/region|a zone",
                    "/deployment/regions/vanua/zones|[\"labasa\",\"suva\"]"
                            + "|/deployment/regions/vanua/zones/1"
                            + "|twice",
                    "/deployment/links/viti-vanua/to|\"viti\"|/deployment/links/viti-vanua/to"
                            + "|source and destination are the same region",
                    "/teams/ghost|{}|/teams/ghost|unknown team",
                    "/teams/deployment|{}|/teams/deployment|owns /deployment only",
                    "/teams/store/services/checkout/zones|{}|/teams/store/services/checkout/zones"
                            + "|no zone",
                    "/teams/store/services/checkout/zones/oslo|{\"weight\":1}"
                            + "|/teams/store/services/checkout/zones/oslo|unknown zone",
                    "/teams/store/backendServers/checkout-1/service|\"chekout\""
                            + "|/teams/store/backendServers/checkout-1/service|unknown service",
                    "/teams/store/backendServers/checkout-1/zone|\"savusavu\""
                            + "|/teams/store/backendServers/checkout-1/zone|no site in zone",
                    "/teams/store/backendServers/checkout-1/address|\"127.0.0.1:70000\""
                            + "|/teams/store/backendServers/checkout-1/address|out of range",
                    "/teams/store/backendServers/checkout-1/state|\"up\""
                            + "|/teams/store/backendServers/checkout-1/state|malformed",
                    "/teams/store/caps/checkout-any/to|\"savusavu\""
                            + "|/teams/store/caps/checkout-any/to|no site in",
                    "/teams/store/caps/x|{\"service\":\"checkout\",\"from\":\"any\",\"to\":\"any\"}"
                            + "|/teams/store/caps/x|sets no limit",
                    "/teams/store/caps/x|{\"service\":\"checkout\",\"from\":\"vanua\","
                            + "\"to\":\"viti\",\"requestsPerSecond\":2500001}"
                            + "|/teams/store/caps/x/requestsPerSecond|cannot carry",
                    "/teams/press|{\"caps\":{\"y\":{\"service\":\"checkout\",\"from\":\"any\","
                            + "\"to\":\"any\",\"inFlight\":1}}}"
                            + "|/teams/press/caps/y/service|another team's",
                })
        void isReportedAtItsPath(String path, String json, String at, String message)
                throws Exception {
            List<SettingsError> errors = SettingsValidator.validate(with(path, json));

            assertThat(errors)
                    .anySatisfy(
                            e -> {
                                assertThat(e.path()).isEqualTo(at);
                                assertThat(e.message()).contains(message);
                                assertThat(e.allowed()).isNotEmpty();
                            });
        }

        /** Guards against two backend servers that share an address. */
        @Test
        void duplicateBackendAddressIsReported() throws Exception {
            String copy =
                    TestSettings.document().at(STORE + "/backendServers/checkout-1").toString();

            assertThat(SettingsValidator.validate(with(STORE + "/backendServers/copy", copy)))
                    .singleElement()
                    .hasToString(
                            "/teams/store/backendServers/copy/address: the address is used at"
                                    + " /teams/store/backendServers/checkout-1/address as well;"
                                    + " allowed: a unique address");
        }

        /** Guards against duplicate fields or trailing text that the parser silently ignores. */
        @Test
        void duplicateFieldAndTrailingTextAreRejected() {
            assertThatThrownBy(() -> SettingsCodec.parse("{\"a\":1,\"a\":2}"))
                    .hasMessageContaining("line 1");
            assertThatThrownBy(() -> SettingsCodec.parse("{} {}"))
                    .isInstanceOf(SettingsException.class);
        }
    }

    @Nested
    class SeveralErrors {
        /** Guards against validation that stops at the first error. */
        @Test
        void areAllReported() throws Exception {
            ObjectNode document = with("/deployment/blockCount", "-1");
            ((ObjectNode) document.at(STORE + "/caps/checkout-any")).put("to", "oslo");
            ((ObjectNode) document.at(STORE + "/backendServers/checkout-1")).put("slots", 1.5);

            assertThat(SettingsValidator.validate(document))
                    .extracting(SettingsError::path)
                    .contains(
                            "/deployment/blockCount",
                            STORE + "/caps/checkout-any/to",
                            STORE + "/backendServers/checkout-1/slots");
        }

        /** Guards against a validator that throws on a value of an unexpected type. */
        @Test
        void ofUnexpectedTypeDoNotThrow() throws Exception {
            for (String value : List.of("null", "1", "[]", "[[]]", "\"x\"", "{}", "{\"a\":null}")) {
                JsonNode document = TestSettings.document();
                for (String path : allPaths("", document)) {
                    assertThat(SettingsValidator.validate(with(path, value))).isNotNull();
                }
                assertThat(SettingsValidator.validate(SettingsCodec.parse(value))).isNotEmpty();
            }
        }

        private List<String> allPaths(String path, JsonNode node) {
            List<String> all = new java.util.ArrayList<>();
            node.properties()
                    .forEach(
                            e -> {
                                all.add(path + "/" + e.getKey());
                                all.addAll(allPaths(path + "/" + e.getKey(), e.getValue()));
                            });
            return all;
        }
    }
}
