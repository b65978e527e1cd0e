package org.redwingladder.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;

/** Reads and validates a configuration file. All errors are reported at once. */
public final class ConfigReader {
    private static final String NAME_PATTERN = "[a-z0-9][a-z0-9.-]{0,62}";
    private static final InetSocketAddress INVALID_ADDRESS = new InetSocketAddress(0);
    private static final int MIN_KEY_BYTES = 16;
    private static final long MAX_STOP_MILLIS = 3_600_000;

    private final List<ConfigException.Fault> mFaults = new ArrayList<>();

    private ConfigReader() {}

    /**
     * Reads a configuration file.
     *
     * @param epochMillis the wall clock, which supplies the incarnation if the file has none
     * @throws ConfigException if the file cannot be read or is invalid
     */
    public static DaemonConfig read(Path file, LongSupplier epochMillis) throws ConfigException {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new ConfigException(
                    List.of(new ConfigException.Fault("", "cannot read " + file)));
        }
        return parse(text, epochMillis);
    }

    /**
     * Parses the text of a configuration file.
     *
     * @param epochMillis the wall clock, which supplies the incarnation if the text has none
     * @throws ConfigException if the text is invalid
     */
    public static DaemonConfig parse(byte[] text, LongSupplier epochMillis) throws ConfigException {
        JsonNode root;
        try {
            root = Json.tree(text);
        } catch (JsonException e) {
            throw new ConfigException(
                    List.of(new ConfigException.Fault("", "not JSON: " + e.getMessage())));
        }
        ConfigReader reader = new ConfigReader();
        DaemonConfig config = reader.config(root, epochMillis);
        if (!reader.mFaults.isEmpty()) {
            throw new ConfigException(reader.mFaults);
        }
        return config;
    }

    private DaemonConfig config(JsonNode root, LongSupplier epochMillis) {
        checkMembers(
                root,
                "",
                Set.of("host", "zone", "incarnation", "listen", "platform", "tokenKey", "limits"));
        String host = name(root, "host");
        String zone = name(root, "zone");
        long incarnation =
                root.has("incarnation")
                        ? number(root, "", "incarnation", 1, Long.MAX_VALUE, 1)
                        : epochMillis.getAsLong();
        JsonNode listen = root.path("listen");
        checkMembers(listen, "/listen", Set.of("client", "peer", "operator"));
        DaemonConfig.Listen addresses =
                new DaemonConfig.Listen(
                        address(listen.path("client"), "/listen/client", true),
                        address(listen.path("peer"), "/listen/peer", true),
                        address(listen.path("operator"), "/listen/operator", true));
        return new DaemonConfig(
                host,
                zone,
                incarnation,
                addresses,
                platform(root.path("platform")),
                key(root.path("tokenKey")),
                limits(root.path("limits")));
    }

    private List<InetSocketAddress> platform(JsonNode node) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        if (!node.isArray() || node.isEmpty()) {
            fault("/platform", "expected a list of at least one ip:port");
        }
        for (int i = 0; i < node.size(); i++) {
            addresses.add(address(node.get(i), "/platform/" + i, false));
        }
        return addresses;
    }

    private byte[] key(JsonNode node) {
        byte[] key = node.isTextual() ? node.textValue().getBytes(UTF_8) : new byte[0];
        if (key.length < MIN_KEY_BYTES) {
            fault("/tokenKey", "expected text of at least " + MIN_KEY_BYTES + " bytes");
        }
        return key;
    }

    private DaemonConfig.Limits limits(JsonNode node) {
        DaemonConfig.Limits defaults = DaemonConfig.Limits.DEFAULT;
        if (node.isMissingNode()) {
            return defaults;
        }
        String at = "/limits";
        checkMembers(
                node,
                at,
                Set.of("ioThreads", "connections", "connectionsPerAddress", "stopMillis"));
        return new DaemonConfig.Limits(
                (int) number(node, at, "ioThreads", 1, 64, defaults.ioThreads()),
                (int) number(node, at, "connections", 16, 1 << 20, defaults.connections()),
                (int)
                        number(
                                node,
                                at,
                                "connectionsPerAddress",
                                1,
                                65_535,
                                defaults.connectionsPerAddress()),
                number(node, at, "stopMillis", 0, MAX_STOP_MILLIS, defaults.stopMillis()));
    }

    private void checkMembers(JsonNode node, String path, Set<String> allowed) {
        if (!node.isObject()) {
            fault(path, "expected an object with the members " + new TreeSet<>(allowed));
            return;
        }
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!allowed.contains(name)) {
                                fault(
                                        path + "/" + name,
                                        "unknown member; allowed: " + new TreeSet<>(allowed));
                            }
                        });
    }

    private String name(JsonNode root, String member) {
        JsonNode node = root.path(member);
        if (!node.isTextual() || !node.textValue().matches(NAME_PATTERN)) {
            fault(
                    "/" + member,
                    "expected a name of up to 63 lower-case letters, digits, dots and hyphens");
            return "";
        }
        return node.textValue();
    }

    private long number(
            JsonNode parent, String path, String member, long min, long max, long defaultValue) {
        JsonNode node = parent.path(member);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!node.isIntegralNumber()
                || !node.canConvertToLong()
                || node.longValue() < min
                || node.longValue() > max) {
            fault(path + "/" + member, "expected a whole number from " + min + " to " + max);
            return defaultValue;
        }
        return node.longValue();
    }

    private InetSocketAddress address(JsonNode node, String path, boolean allowEphemeralPort) {
        try {
            if (node.isTextual()) {
                InetSocketAddress address = Addresses.parse(node.textValue());
                if (allowEphemeralPort || address.getPort() != 0) {
                    return address;
                }
            }
        } catch (IllegalArgumentException e) {
            // Reported below, with what is allowed.
        }
        fault(
                path,
                "expected ip:port" + (allowEphemeralPort ? "; port 0 for an ephemeral port" : ""));
        return INVALID_ADDRESS;
    }

    private void fault(String path, String message) {
        mFaults.add(new ConfigException.Fault(path, message));
    }
}
