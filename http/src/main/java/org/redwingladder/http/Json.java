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

    /** Returns the shared mapper. Unknown members are ignored, so that versions can differ. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Returns {@code value} as JSON text in UTF-8. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("no JSON form for " + value.getClass(), e);
        }
    }

    /**
     * Returns the value of a JSON text.
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
     * Returns the tree of a JSON text.
     *
     * @throws JsonException if the text is not JSON
     */
    public static JsonNode tree(byte[] text) throws JsonException {
        return read(text, JsonNode.class);
    }
}
