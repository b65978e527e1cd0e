package org.redwingladder.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.type.LogicalType;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes settings documents as JSON. */
public final class SettingsCodec {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .withCoercionConfig(
                            LogicalType.Enum,
                            c -> c.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail))
                    .build();

    private SettingsCodec() {}

    /**
     * Reads a JSON text.
     *
     * @throws SettingsException if the text is not valid JSON or an object has a duplicate member
     */
    public static JsonNode parse(String json) throws SettingsException {
        try {
            JsonNode node = MAPPER.readTree(json);
            return node == null ? JsonNodeFactory.instance.nullNode() : node;
        } catch (JsonProcessingException e) {
            String place =
                    e.getLocation() == null
                            ? ""
                            : "line "
                                    + e.getLocation().getLineNr()
                                    + ", column "
                                    + e.getLocation().getColumnNr()
                                    + ": ";
            throw new SettingsException("", place + e.getOriginalMessage(), "one JSON document");
        }
    }

    /**
     * Reads and validates a whole document.
     *
     * @throws SettingsException with all errors if the document is not valid
     */
    public static Settings read(String json) throws SettingsException {
        return read(parse(json));
    }

    /**
     * Reads and validates a whole document.
     *
     * @throws SettingsException with all errors if the document is not valid
     */
    public static Settings read(JsonNode document) throws SettingsException {
        var errors = SettingsValidator.validate(document);
        if (!errors.isEmpty()) {
            throw new SettingsException(errors);
        }
        return bind(document);
    }

    /** Converts a valid document to settings. */
    static Settings bind(JsonNode document) throws SettingsException {
        try {
            DeploymentSettings deployment =
                    MAPPER.treeToValue(document.path("deployment"), DeploymentSettings.class);
            Map<String, TeamSettings> teams = new TreeMap<>();
            for (Map.Entry<String, JsonNode> team : document.path("teams").properties()) {
                teams.put(team.getKey(), MAPPER.treeToValue(team.getValue(), TeamSettings.class));
            }
            return Settings.of(deployment, teams);
        } catch (JsonProcessingException e) {
            throw new SettingsException("", e.getOriginalMessage(), "a valid settings document");
        }
    }

    /**
     * Converts a valid document to settings and reuses the objects of subtrees that are identical
     * in the previous document.
     */
    static Settings bind(JsonNode document, JsonNode beforeDocument, Settings before)
            throws SettingsException {
        try {
            JsonNode node = document.path("deployment");
            DeploymentSettings deployment =
                    node == beforeDocument.path("deployment")
                            ? before.deployment()
                            : MAPPER.treeToValue(node, DeploymentSettings.class);
            Map<String, TeamSettings> teams = new TreeMap<>();
            for (Map.Entry<String, JsonNode> team : document.path("teams").properties()) {
                String name = team.getKey();
                TeamSettings known = before.teams().get(name);
                boolean same = team.getValue() == beforeDocument.path("teams").path(name);
                teams.put(
                        name,
                        same && known != null
                                ? known
                                : MAPPER.treeToValue(team.getValue(), TeamSettings.class));
            }
            return Settings.of(deployment, teams);
        } catch (JsonProcessingException e) {
            throw new SettingsException("", e.getOriginalMessage(), "a valid settings document");
        }
    }

    /** Converts {@code settings} to a JSON document. */
    public static ObjectNode write(Settings settings) {
        ObjectNode node = MAPPER.createObjectNode();
        node.set("deployment", MAPPER.valueToTree(settings.deployment()));
        node.set("teams", MAPPER.valueToTree(settings.teams()));
        return node;
    }
}
