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

/** Describes what a value of the settings document may look like. */
sealed interface Shape {

    /** Adds the errors of {@code node}, which stands at {@code path}. */
    void check(JsonNode node, String path, List<SettingsError> errors);

    /** Returns a path below {@code path}. */
    static String below(String path, String name) {
        return path + "/" + name.replace("~", "~0").replace("/", "~1");
    }

    /** Allows a text that matches a pattern. */
    record Text(Pattern pattern, String allowed) implements Shape {
        static Text of(String regex, String allowed) {
            return new Text(Pattern.compile(regex), allowed);
        }

        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            if (!node.isTextual()) {
                errors.add(new SettingsError(path, found(node) + " instead of a text", allowed));
            } else if (!pattern.matcher(node.textValue()).matches()) {
                String text = abbreviate(node.textValue());
                errors.add(new SettingsError(path, "malformed value \"" + text + "\"", allowed));
            }
        }
    }

    /** Allows a number in a range. */
    record Number(double least, double most, boolean whole) implements Shape {
        static Number whole(long least, long most) {
            return new Number(least, most, true);
        }

        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            String kind = whole ? "a whole number" : "a number";
            String allowed =
                    kind
                            + " from "
                            + (whole ? (long) least : least)
                            + " to "
                            + (whole ? (long) most : most);
            boolean rightType = whole ? node.isIntegralNumber() : node.isNumber();
            if (!rightType) {
                errors.add(new SettingsError(path, found(node) + " instead of " + kind, allowed));
            } else if (node.doubleValue() < least || node.doubleValue() > most) {
                errors.add(new SettingsError(path, node + " is out of range", allowed));
            }
        }
    }

    /** Allows an array of values of one shape. */
    record Array(Shape element, int least, int most) implements Shape {
        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            String allowed = "an array of " + least + " to " + most + " elements";
            if (!node.isArray()) {
                errors.add(new SettingsError(path, found(node) + " instead of an array", allowed));
                return;
            }
            if (node.size() < least || node.size() > most) {
                errors.add(new SettingsError(path, node.size() + " elements", allowed));
            }
            for (int i = 0; i < node.size(); i++) {
                element.check(node.path(i), path + "/" + i, errors);
            }
        }
    }

    /** Allows an object whose members have free names and one shape. */
    record Named(Shape member, int most) implements Shape {
        private static final Text NAME =
                Text.of(
                        "[a-z0-9][a-z0-9-]{0,62}",
                        "1 to 63 lower-case letters, digits and hyphens, no hyphen first");

        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            String allowed = "an object with at most " + most + " members";
            if (!node.isObject()) {
                errors.add(new SettingsError(path, found(node) + " instead of an object", allowed));
                return;
            }
            if (node.size() > most) {
                errors.add(new SettingsError(path, node.size() + " members", allowed));
            }
            for (Map.Entry<String, JsonNode> entry : node.properties()) {
                String at = below(path, entry.getKey());
                if (!NAME.pattern().matcher(entry.getKey()).matches()) {
                    errors.add(new SettingsError(at, "malformed name", NAME.allowed()));
                }
                member.check(entry.getValue(), at, errors);
            }
        }
    }

    /** Allows an object with known fields. */
    record Fields(Map<String, Shape> required, Map<String, Shape> optional) implements Shape {
        static Fields of(Map<String, Shape> required, Map<String, Shape> optional) {
            return new Fields(new LinkedHashMap<>(required), new LinkedHashMap<>(optional));
        }

        @Override
        public void check(JsonNode node, String path, List<SettingsError> errors) {
            if (!(node instanceof ObjectNode object)) {
                errors.add(
                        new SettingsError(
                                path, found(node) + " instead of an object", "fields " + names()));
                return;
            }
            for (Map.Entry<String, JsonNode> entry : object.properties()) {
                String name = entry.getKey();
                Shape shape = required.getOrDefault(name, optional.get(name));
                if (shape == null) {
                    errors.add(new SettingsError(below(path, name), "unknown field", names()));
                } else {
                    shape.check(entry.getValue(), below(path, name), errors);
                }
            }
            for (String name : required.keySet()) {
                if (!object.has(name)) {
                    errors.add(
                            new SettingsError(
                                    below(path, name), "missing field", "a value is required"));
                }
            }
        }

        private String names() {
            return Stream.concat(required.keySet().stream(), optional.keySet().stream())
                    .sorted()
                    .collect(Collectors.joining(", "));
        }
    }

    private static String found(JsonNode node) {
        return node.isMissingNode()
                ? "nothing"
                : node.getNodeType().name().toLowerCase(Locale.ROOT);
    }

    private static String abbreviate(String text) {
        return text.length() <= 80 ? text : text.substring(0, 80) + "...";
    }
}
