package org.redwingladder.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Reads and writes the JSON bodies of messages between processes. */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private Json() {}

    /**
     * Returns the shared mapper. It ignores unknown properties, so that peers of different versions
     * can communicate.
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Serializes {@code value} to JSON in UTF-8. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize to JSON: " + value.getClass(), e);
        }
    }

    /**
     * Parses a JSON text into a value.
     *
     * @throws JsonException if the text is not JSON or does not fit {@code type}
     */
    public static <T> T read(byte[] text, Class<T> type) throws JsonException {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new JsonException("expected " + type.getSimpleName() + ", found null");
            }
            return value;
        } catch (JsonException e) {
            throw e;
        } catch (IOException e) {
            throw JsonException.of(e);
        }
    }

    /**
     * Parses a JSON text into a tree.
     *
     * @throws JsonException if the text is not JSON
     */
    public static JsonNode tree(byte[] text) throws JsonException {
        return read(text, JsonNode.class);
    }
}
