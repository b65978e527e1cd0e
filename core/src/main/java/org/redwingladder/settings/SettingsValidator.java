package org.redwingladder.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Validates a complete settings document and reports all errors. */
public final class SettingsValidator {
    private static final Schema NAME =
            Schema.Text.of(
                    "[a-z0-9][a-z0-9-]{0,62}",
                    "a name of 1 to 63 lower-case letters, digits and hyphens");
    private static final Schema ADDRESS =
            Schema.Text.of(
                    "(?:[0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-f:]+\\]):[1-9][0-9]{0,4}",
                    "ip:port, such as 127.0.0.1:4001");
    private static final Schema KEY =
            Schema.Text.of("[0-9a-f]{64}", "64 lower-case hexadecimal digits");
    private static final int MAX_MEMBERS = 100_000;

    private static final Schema DEPLOYMENT =
            Schema.Struct.of(
                    Map.of(
                            // Look-up tables take four bytes per block and service.
                            "blockCount",
                            Schema.Number.integer(1, 16_777_216),
                            "lookupLifetimeMillis",
                            Schema.Number.integer(100, 600_000),
                            "regions",
                            new Schema.Dictionary(
                                    Schema.Struct.of(
                                            Map.of("zones", new Schema.Array(NAME, 1, 100)),
                                            Map.of()),
                                    1000),
                            "teams",
                            new Schema.Dictionary(
                                    Schema.Struct.of(Map.of("keySha256", KEY), Map.of()), 1000)),
                    Map.of(
                            "distances",
                            new Schema.Dictionary(
                                    Schema.Struct.of(
                                            Map.of(
                                                    "between", new Schema.Array(NAME, 2, 2),
                                                    "oneWayMillis",
                                                            new Schema.Number(0, 10_000, false)),
                                            Map.of()),
                                    MAX_MEMBERS),
                            "links",
                            new Schema.Dictionary(
                                    Schema.Struct.of(
                                            Map.of(
                                                    "from", NAME,
                                                    "to", NAME,
                                                    "bitsPerSecond",
                                                            Schema.Number.integer(
                                                                    1, 1_000_000_000_000_000L)),
                                            Map.of()),
                                    MAX_MEMBERS),
                            "blocks",
                            new Schema.Dictionary(
                                    Schema.Struct.of(
                                            Map.of(
                                                    "first", Schema.Number.integer(0, 16_777_215),
                                                    "last", Schema.Number.integer(0, 16_777_215),
                                                    "region", NAME),
                                            Map.of()),
                                    MAX_MEMBERS)));

    private static final Schema SERVICE =
            Schema.Struct.of(
                    Map.of(
                            "maxRequestMillis", Schema.Number.integer(1, 3_600_000),
                            "rampMillis", Schema.Number.integer(0, 600_000),
                            "longSlotsPercent", Schema.Number.integer(0, 100),
                            "zones",
                                    new Schema.Dictionary(
                                            Schema.Struct.of(
                                                    Map.of(
                                                            "weight",
                                                            Schema.Number.integer(0, 1_000_000)),
                                                    Map.of()),
                                            1000)),
                    Map.of(
                            "classes",
                            new Schema.Dictionary(
                                    Schema.Struct.of(
                                            Map.of(
                                                    "pathPrefix",
                                                            Schema.Text.of(
                                                                    "/[!-~]{0,255}",
                                                                    "a path that starts with /"),
                                                    "class",
                                                            Schema.Text.of(
                                                                    "short|long", "short or long")),
                                            Map.of()),
                                    100)));

    private static final Schema BACKEND =
            Schema.Struct.of(
                    Map.of(
                            "service",
                            NAME,
                            "zone",
                            NAME,
                            "address",
                            ADDRESS,
                            "slots",
                            Schema.Number.integer(1, 100_000),
                            "connections",
                            Schema.Number.integer(1, 1_000_000),
                            "state",
                            Schema.Text.of("serving|draining", "serving or draining")),
                    Map.of());

    private static final Schema CAP =
            Schema.Struct.of(
                    Map.of("service", NAME, "from", NAME, "to", NAME),
                    Map.of(
                            "requestsPerSecond", Schema.Number.integer(0, 1_000_000_000),
                            "inFlight", Schema.Number.integer(0, 100_000_000)));

    private static final Schema TEAM =
            Schema.Struct.of(
                    Map.of(),
                    Map.of(
                            "services", new Schema.Dictionary(SERVICE, 10_000),
                            "backendServers", new Schema.Dictionary(BACKEND, MAX_MEMBERS),
                            "caps", new Schema.Dictionary(CAP, MAX_MEMBERS)));

    private static final Schema DOCUMENT =
            Schema.Struct.of(
                    Map.of("deployment", DEPLOYMENT),
                    Map.of("teams", new Schema.Dictionary(TEAM, 1000)));

    private SettingsValidator() {}

    /** Returns all errors of {@code document} ordered by path; none if it is valid. */
    public static List<SettingsError> validate(JsonNode document) {
        List<SettingsError> errors = new ArrayList<>();
        DOCUMENT.check(document, "", errors);
        return checkRules(document, errors);
    }

    /**
     * Returns all errors of {@code document} ordered by path. Checks constraints between subtrees,
     * but not the schema of subtrees that it shares with {@code valid}, a valid document.
     */
    static List<SettingsError> validate(JsonNode document, JsonNode valid) {
        List<SettingsError> errors = new ArrayList<>();
        JsonNode deployment = document.path(DeploymentSettings.TEAM);
        if (deployment != valid.path(DeploymentSettings.TEAM)) {
            DEPLOYMENT.check(deployment, "/" + DeploymentSettings.TEAM, errors);
        }
        for (Map.Entry<String, JsonNode> team : document.path("teams").properties()) {
            if (team.getValue() != valid.path("teams").path(team.getKey())) {
                String path = Schema.childPath("/teams", team.getKey());
                NAME.check(TextNode.valueOf(team.getKey()), path, errors);
                TEAM.check(team.getValue(), path, errors);
            }
        }
        return checkRules(document, errors);
    }

    private static List<SettingsError> checkRules(JsonNode document, List<SettingsError> errors) {
        DeploymentValidator.check(document, errors);
        TeamValidator.check(document, errors);
        errors.sort(Comparator.comparing(SettingsError::path));
        return errors;
    }
}
