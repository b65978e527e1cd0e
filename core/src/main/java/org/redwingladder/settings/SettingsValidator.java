package org.redwingladder.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Checks a whole settings document and reports all errors at once. */
public final class SettingsValidator {
    private static final Shape NAME =
            Shape.Text.of(
                    "[a-z0-9][a-z0-9-]{0,62}",
                    "a name of 1 to 63 lower-case letters, digits and hyphens");
    private static final Shape ADDRESS =
            Shape.Text.of(
                    "(?:[0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-f:]+\\]):[1-9][0-9]{0,4}",
                    "ip:port, such as 127.0.0.1:4001");
    private static final Shape KEY =
            Shape.Text.of("[0-9a-f]{64}", "64 lower-case hexadecimal digits");
    private static final int MANY = 100_000;

    private static final Shape DEPLOYMENT =
            Shape.Fields.of(
                    Map.of(
                            // Block tables take four bytes a block and service.
                            "blockCount",
                            Shape.Number.whole(1, 16_777_216),
                            "lookupLifetimeMillis",
                            Shape.Number.whole(100, 600_000),
                            "regions",
                            new Shape.Named(
                                    Shape.Fields.of(
                                            Map.of("zones", new Shape.Array(NAME, 1, 100)),
                                            Map.of()),
                                    1000),
                            "teams",
                            new Shape.Named(
                                    Shape.Fields.of(Map.of("keySha256", KEY), Map.of()), 1000)),
                    Map.of(
                            "distances",
                            new Shape.Named(
                                    Shape.Fields.of(
                                            Map.of(
                                                    "between", new Shape.Array(NAME, 2, 2),
                                                    "oneWayMillis",
                                                            new Shape.Number(0, 10_000, false)),
                                            Map.of()),
                                    MANY),
                            "links",
                            new Shape.Named(
                                    Shape.Fields.of(
                                            Map.of(
                                                    "from", NAME,
                                                    "to", NAME,
                                                    "bitsPerSecond",
                                                            Shape.Number.whole(
                                                                    1, 1_000_000_000_000_000L)),
                                            Map.of()),
                                    MANY),
                            "blocks",
                            new Shape.Named(
                                    Shape.Fields.of(
                                            Map.of(
                                                    "first", Shape.Number.whole(0, 16_777_215),
                                                    "last", Shape.Number.whole(0, 16_777_215),
                                                    "region", NAME),
                                            Map.of()),
                                    MANY)));

    private static final Shape SERVICE =
            Shape.Fields.of(
                    Map.of(
                            "maxRequestMillis", Shape.Number.whole(1, 3_600_000),
                            "rampMillis", Shape.Number.whole(0, 600_000),
                            "longSlotsPercent", Shape.Number.whole(0, 100),
                            "zones",
                                    new Shape.Named(
                                            Shape.Fields.of(
                                                    Map.of(
                                                            "weight",
                                                            Shape.Number.whole(0, 1_000_000)),
                                                    Map.of()),
                                            1000)),
                    Map.of(
                            "classes",
                            new Shape.Named(
                                    Shape.Fields.of(
                                            Map.of(
                                                    "pathPrefix",
                                                            Shape.Text.of(
                                                                    "/[!-~]{0,255}",
                                                                    "a path that starts with /"),
                                                    "class",
                                                            Shape.Text.of(
                                                                    "short|long", "short or long")),
                                            Map.of()),
                                    100)));

    private static final Shape BACKEND =
            Shape.Fields.of(
                    Map.of(
                            "service",
                            NAME,
                            "zone",
                            NAME,
                            "address",
                            ADDRESS,
                            "slots",
                            Shape.Number.whole(1, 100_000),
                            "connections",
                            Shape.Number.whole(1, 1_000_000),
                            "state",
                            Shape.Text.of("serving|draining", "serving or draining")),
                    Map.of());

    private static final Shape CAP =
            Shape.Fields.of(
                    Map.of("service", NAME, "from", NAME, "to", NAME),
                    Map.of(
                            "requestsPerSecond", Shape.Number.whole(0, 1_000_000_000),
                            "inFlight", Shape.Number.whole(0, 100_000_000)));

    private static final Shape TEAM =
            Shape.Fields.of(
                    Map.of(),
                    Map.of(
                            "services", new Shape.Named(SERVICE, 10_000),
                            "backendServers", new Shape.Named(BACKEND, MANY),
                            "caps", new Shape.Named(CAP, MANY)));

    private static final Shape DOCUMENT =
            Shape.Fields.of(
                    Map.of("deployment", DEPLOYMENT), Map.of("teams", new Shape.Named(TEAM, 1000)));

    private SettingsValidator() {}

    /** Returns all errors of {@code document} in the order of their paths; none means valid. */
    public static List<SettingsError> validate(JsonNode document) {
        List<SettingsError> errors = new ArrayList<>();
        DOCUMENT.check(document, "", errors);
        return checkRules(document, errors);
    }

    /**
     * Returns all errors of {@code document}. The shape of subtrees that it shares with {@code
     * valid}, a valid document, is not checked again; what subtrees must be to each other is.
     */
    static List<SettingsError> validate(JsonNode document, JsonNode valid) {
        List<SettingsError> errors = new ArrayList<>();
        JsonNode deployment = document.path(Deployment.TEAM);
        if (deployment != valid.path(Deployment.TEAM)) {
            DEPLOYMENT.check(deployment, "/" + Deployment.TEAM, errors);
        }
        for (Map.Entry<String, JsonNode> team : document.path("teams").properties()) {
            if (team.getValue() != valid.path("teams").path(team.getKey())) {
                String path = Shape.below("/teams", team.getKey());
                NAME.check(TextNode.valueOf(team.getKey()), path, errors);
                TEAM.check(team.getValue(), path, errors);
            }
        }
        return checkRules(document, errors);
    }

    private static List<SettingsError> checkRules(JsonNode document, List<SettingsError> errors) {
        DeploymentRules.check(document, errors);
        TeamRules.check(document, errors);
        errors.sort(Comparator.comparing(SettingsError::path));
        return errors;
    }
}
