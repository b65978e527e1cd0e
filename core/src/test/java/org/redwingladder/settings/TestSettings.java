package org.redwingladder.settings;

import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Settings documents, trees and changes for tests. */
public final class TestSettings {
    private static final String KEY = "0".repeat(64);

    private TestSettings() {}

    /** Returns a valid document with two regions, four zones, a service and a cap. */
    public static ObjectNode document() {
        return parse(
                """
                {"deployment": {"blockCount": 1000, "lookupLifetimeMillis": 5000,
                  "regions": {"viti": {"zones": ["suva", "nadi"]},
                    "vanua": {"zones": ["labasa", "savusavu"]}},
                  "distances": {"viti-vanua": {"between": ["viti", "vanua"],
                    "oneWayMillis": 20}},
                  "links": {"viti-vanua": {"from": "viti", "to": "vanua",
                    "bitsPerSecond": 4000000000}},
                  "blocks": {"b0": {"first": 0, "last": 499, "region": "viti"},
                    "b1": {"first": 500, "last": 999, "region": "vanua"}},
                  "teams": {"store": {"keySha256": "KEY"}, "press": {"keySha256": "KEY"},
                    "deployment": {"keySha256": "KEY"}}},
                 "teams": {"store": {
                  "services": {"checkout": {"maxRequestMillis": 10000, "rampMillis": 10000,
                    "longSlotsPercent": 66, "zones": {"suva": {"weight": 100},
                      "nadi": {"weight": 100}, "labasa": {"weight": 100}}}},
                  "backendServers": {"checkout-1": {"service": "checkout", "zone": "suva",
                    "address": "127.0.0.1:4001", "slots": 4, "connections": 800,
                    "state": "serving"}},
                  "caps": {"checkout-any": {"service": "checkout", "from": "any", "to": "any",
                    "requestsPerSecond": 100, "inFlight": 32}}}}}
                """
                        .replace("KEY", KEY));
    }

    /** Parses a JSON object. */
    public static ObjectNode parse(String json) {
        try {
            return (ObjectNode) SettingsCodec.parse(json);
        } catch (SettingsException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns the tree of {@link #document} at {@code version}. */
    public static SettingsTree tree(long version) {
        ObjectNode document = document();
        return SettingsTree.of(
                version,
                Map.of(
                        "deployment", document.get("deployment"),
                        "store", document.get("teams").get("store")),
                Map.of("deployment", version, "store", version));
    }

    /** Returns a change of team {@code store} that sets the rate limit of its cap. */
    public static SettingsChange rateChange(long version, long requestsPerSecond) {
        return new SettingsChange(
                version,
                "c" + version,
                "store",
                "/teams/store/caps/checkout-any/requestsPerSecond",
                LongNode.valueOf(requestsPerSecond),
                "ana",
                1000 + version);
    }
}
