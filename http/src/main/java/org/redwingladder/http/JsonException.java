package org.redwingladder.http;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;

/** Thrown if a text is not the expected JSON; the message has line and column where known. */
public final class JsonException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message describes the error in the text. */
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
