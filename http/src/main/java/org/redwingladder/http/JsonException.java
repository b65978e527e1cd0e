package org.redwingladder.http;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;

/** Reports a text that is not the expected JSON, with its line and column where known. */
public final class JsonException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that says what is wrong with a text. */
    public JsonException(String message) {
        super(message);
    }

    static JsonException of(IOException cause) {
        if (cause instanceof JsonProcessingException json) {
            JsonLocation at = json.getLocation();
            String where =
                    at == null ? "" : "line " + at.getLineNr() + ", column " + at.getColumnNr();
            return new JsonException(json.getOriginalMessage() + " at " + where);
        }
        return new JsonException(String.valueOf(cause.getMessage()));
    }
}
