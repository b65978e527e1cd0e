package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes the JSON of the stand-ins. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Returns a copy of {@code node} in which the named members are counts: {@code true} becomes -1
     * (all) and {@code false} becomes 0.
     *
     * @throws IOException if {@code node} is not an object
     */
    static ObjectNode normalizeCounts(JsonNode node, String... names) throws IOException {
        if (!(node instanceof ObjectNode object)) {
            throw new IOException("a JSON object is required");
        }
        ObjectNode copy = object.deepCopy();
        for (String name : names) {
            if (copy.path(name).isBoolean()) {
                copy.put(name, copy.path(name).booleanValue() ? -1 : 0);
            }
        }
        return copy;
    }
}
