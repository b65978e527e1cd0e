package org.redwingladder.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A schema of a value in the settings document. */
sealed interface Schema {

    /** Adds the errors of {@code node}, the value at {@code path}, to {@code errors}. */
    void check(JsonNode node, String path, List<SettingsError> errors);

    /** Returns the JSON pointer of the member {@code name} of the object at {@code path}. */
    static String childPath(String path, String name) {
        return path + "/" + name.replace("~", "~0").replace("/", "~1");
    }

    /** A string that matches a pattern. */
    record Text(Pattern pattern, String allowed) implements Schema {
        static Text of(String regex, String allowed) {
            return new Text(Pattern.compile(regex), allowed);
        }

        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            if (!node.isTextual()) {
                errors.add(
                        new SettingsError(path, typeName(node) + " instead of a string", allowed));
            } else if (!pattern.matcher(node.textValue()).matches()) {
                String text = abbreviate(node.textValue());
                errors.add(new SettingsError(path, "malformed value \"" + text + "\"", allowed));
            }
        }
    }

    /** A number in an inclusive range. */
    record Number(double min, double max, boolean integer) implements Schema {
        static Number integer(long min, long max) {
            return new Number(min, max, true);
        }

        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            String kind = integer ? "a whole number" : "a number";
            String allowed =
                    kind
                            + " from "
                            + (integer ? (long) min : min)
                            + " to "
                            + (integer ? (long) max : max);
            boolean rightType = integer ? node.isIntegralNumber() : node.isNumber();
            if (!rightType) {
                errors.add(
                        new SettingsError(path, typeName(node) + " instead of " + kind, allowed));
            } else if (node.doubleValue() < min || node.doubleValue() > max) {
                errors.add(new SettingsError(path, node + " is out of range", allowed));
            }
        }
    }

    /** An array whose elements have the same schema. */
    record Array(Schema element, int min, int max) implements Schema {
        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            String allowed = "an array of " + min + " to " + max + " elements";
            if (!node.isArray()) {
                errors.add(
                        new SettingsError(path, typeName(node) + " instead of an array", allowed));
                return;
            }
            if (node.size() < min || node.size() > max) {
                errors.add(new SettingsError(path, node.size() + " elements", allowed));
            }
            for (int i = 0; i < node.size(); i++) {
                element.check(node.path(i), path + "/" + i, errors);
            }
        }
    }

    /** An object with arbitrary member names whose values have the same schema. */
    record Dictionary(Schema member, int max) implements Schema {
        private static final Text NAME =
                Text.of(
                        "[a-z0-9][a-z0-9-]{0,62}",
                        "1 to 63 lower-case letters, digits and hyphens, no hyphen first");

        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            String allowed = "an object with at most " + max + " members";
            if (!node.isObject()) {
                errors.add(
                        new SettingsError(path, typeName(node) + " instead of an object", allowed));
                return;
            }
            if (node.size() > max) {
                errors.add(new SettingsError(path, node.size() + " members", allowed));
            }
            for (Map.Entry<String, JsonNode> entry : node.properties()) {
                String at = childPath(path, entry.getKey());
                if (!NAME.pattern().matcher(entry.getKey()).matches()) {
                    errors.add(new SettingsError(at, "malformed name", NAME.allowed()));
                }
                member.check(entry.getValue(), at, errors);
            }
        }
    }

    /** An object with a fixed set of fields. */
    record Struct(Map<String, Schema> required, Map<String, Schema> optional) implements Schema {
        static Struct of(Map<String, Schema> required, Map<String, Schema> optional) {
            return new Struct(new LinkedHashMap<>(required), new LinkedHashMap<>(optional));
        }

        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            if (!(node instanceof ObjectNode object)) {
                errors.add(
                        new SettingsError(
                                path,
                                typeName(node) + " instead of an object",
                                "fields " + names()));
                return;
            }
            for (Map.Entry<String, JsonNode> entry : object.properties()) {
                String name = entry.getKey();
                Schema shape = required.getOrDefault(name, optional.get(name));
                if (shape == null) {
                    errors.add(new SettingsError(childPath(path, name), "unknown field", names()));
                } else {
                    shape.check(entry.getValue(), childPath(path, name), errors);
                }
            }
            for (String name : required.keySet()) {
                if (!object.has(name)) {
                    errors.add(
                            new SettingsError(
                                    childPath(path, name), "missing field", "a value is required"));
                }
            }
        }

        private String names() {
            return Stream.concat(required.keySet().stream(), optional.keySet().stream())
                    .sorted()
                    .collect(Collectors.joining(", "));
        }
    }

    private static String typeName(JsonNode node) {
        return node.isMissingNode()
                ? "nothing"
                : node.getNodeType().name().toLowerCase(Locale.ROOT);
    }

    private static String abbreviate(String text) {
        return text.length() <= 80 ? text : text.substring(0, 80) + "...";
    }
}
