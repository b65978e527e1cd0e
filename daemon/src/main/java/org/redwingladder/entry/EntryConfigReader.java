package org.redwingladder.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.limits.ConnectionLimits;
import org.redwingladder.steering.HostResources;

/**
 * Parses and validates the configuration of an entry host, which is a file and a few environment
 * variables; reports all errors at once.
 */
public final class EntryConfigReader {
    /**
     * The variable with the most files and sockets that the process may open. It takes precedence
     * over the file, as the limit belongs to the process and may differ between hosts that share a
     * form of the file.
     */
    public static final String DESCRIPTORS_VARIABLE = "REDWINGLADDER_DESCRIPTORS";

    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(ms|s)");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");

    private final JsonNode mRoot;
    private final Map<String, String> mEnvironment;
    private final List<String> mErrors = new ArrayList<>();

    /** Thrown for an invalid configuration; the message lists all errors. */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(List<String> errors) {
            super(String.join("; ", errors));
        }
    }

    private EntryConfigReader(JsonNode root, Map<String, String> environment) {
        mRoot = root;
        mEnvironment = environment;
    }

    /**
     * Parses a configuration.
     *
     * @param text the content of the file
     * @param environment the environment variables of the process
     * @throws InvalidConfigException if the text is not JSON, or members or variables are missing
     *     or of a wrong type
     */
    public static EntryConfig read(byte[] text, Map<String, String> environment)
            throws InvalidConfigException {
        try {
            return new EntryConfigReader(Json.tree(text), environment).config();
        } catch (JsonException e) {
            throw new InvalidConfigException(List.of("not JSON: " + e.getMessage()));
        }
    }

    private EntryConfig config() throws InvalidConfigException {
        String host = text("host");
        String zone = text("zone");
        Map<String, String> zones = zones();
        if (!zone.isEmpty() && !zones.containsKey(zone)) {
            mErrors.add("zone: '" + zone + "' is not a key of regionOfZone");
        }
        EntryConfig config =
                new EntryConfig(
                        host,
                        zone,
                        zones,
                        address("listen.clients"),
                        address("listen.readiness"),
                        address("listen.lookups"),
                        address("listen.peers"),
                        seeds(),
                        address("store"),
                        new HostResources(
                                number("size.cores") * number("size.partOfEachCore"),
                                number("size.linkMegabits"),
                                descriptors()),
                        new EntryConfig.Bounds(
                                millis("bounds.stop"),
                                millis("bounds.lookupLifetime"),
                                number("bounds.retryRatio"),
                                number("bounds.retryAllowance"),
                                millis("bounds.retryWindow")));
        if (!mErrors.isEmpty()) {
            throw new InvalidConfigException(mErrors);
        }
        return config;
    }

    private @Nullable JsonNode node(String path) {
        JsonNode node = mRoot;
        for (String name : path.split("\\.")) {
            node = node == null ? null : node.get(name);
        }
        return node;
    }

    private String text(String path) {
        JsonNode node = node(path);
        if (node == null || !node.isTextual() || node.asText().isEmpty()) {
            mErrors.add(path + ": expected a non-empty string, found " + node);
            return "";
        }
        return node.asText();
    }

    private InetSocketAddress address(String path) {
        String text = text(path);
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            mErrors.add(path + ": " + e.getMessage());
            return InetSocketAddress.createUnresolved("invalid", 0);
        }
    }

    private double number(String path) {
        JsonNode node = node(path);
        if (node == null || !node.isNumber() || node.asDouble() < 0) {
            mErrors.add(path + ": expected a number of at least 0, found " + node);
            return 0;
        }
        return node.asDouble();
    }

    private int descriptors() {
        String variable = mEnvironment.getOrDefault(DESCRIPTORS_VARIABLE, "");
        if (!variable.isEmpty()) {
            return WHOLE_NUMBER.matcher(variable).matches()
                    ? descriptors(DESCRIPTORS_VARIABLE, Integer.parseInt(variable), variable)
                    : descriptors(DESCRIPTORS_VARIABLE, 0, variable);
        }
        String path = "size.descriptors";
        JsonNode node = node(path);
        return node == null
                ? HostResources.DEFAULT_DESCRIPTORS
                : descriptors(path, node.isInt() ? node.asInt() : 0, node);
    }

    private int descriptors(String name, int count, Object found) {
        if (count < ConnectionLimits.MIN_DESCRIPTORS) {
            mErrors.add(
                    name
                            + ": expected a whole number of at least "
                            + ConnectionLimits.MIN_DESCRIPTORS
                            + ", found "
                            + found);
            return HostResources.DEFAULT_DESCRIPTORS;
        }
        return count;
    }

    private long millis(String path) {
        String text = text(path);
        Matcher match = DURATION.matcher(text);
        if (!match.matches()) {
            mErrors.add(
                    path + ": expected a duration such as 1500ms or 2.5s, found '" + text + "'");
            return 0;
        }
        double value = Double.parseDouble(match.group(1));
        return Math.round(match.group(2).equals("s") ? value * 1000 : value);
    }

    private Map<String, String> zones() {
        Map<String, String> zones = new TreeMap<>();
        JsonNode node = node("regionOfZone");
        if (node == null || !node.isObject() || node.isEmpty()) {
            mErrors.add("regionOfZone: expected a non-empty object, found " + node);
            return zones;
        }
        for (Map.Entry<String, JsonNode> zone : node.properties()) {
            zones.put(zone.getKey(), zone.getValue().asText());
        }
        return zones;
    }

    private List<InetSocketAddress> seeds() {
        List<InetSocketAddress> seeds = new ArrayList<>();
        JsonNode node = node("seeds");
        if (node == null || !node.isArray()) {
            mErrors.add("seeds: expected a list of addresses, found " + node);
            return seeds;
        }
        for (JsonNode seed : node) {
            try {
                seeds.add(Addresses.parse(seed.asText()));
            } catch (IllegalArgumentException e) {
                mErrors.add("seeds: " + e.getMessage());
            }
        }
        return seeds;
    }
}
