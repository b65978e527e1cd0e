package org.redwingladder.once;

import java.util.Arrays;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The response to work that ran, stored so that a retried request gets the same response.
 *
 * @param status the HTTP status
 * @param headers the headers that are replayed
 * @param body the complete body
 */
public record StoredResponse(int status, SortedMap<String, String> headers, byte[] body) {
    /** Largest body that is stored; a response with a larger one is delivered once. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    public StoredResponse {
        headers = Collections.unmodifiableSortedMap(new TreeMap<>(headers));
        body = body.clone();
    }

    /** Returns a response with copies of {@code headers} and {@code body}. */
    public static StoredResponse of(int status, Map<String, String> headers, byte[] body) {
        return new StoredResponse(status, new TreeMap<>(headers), body);
    }

    /** Returns the approximate size in memory, in bytes. */
    long memoryBytes() {
        long bytes = body.length;
        for (Map.Entry<String, String> header : headers.entrySet()) {
            bytes += 2L * (header.getKey().length() + header.getValue().length());
        }
        return bytes;
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof StoredResponse o
                && status == o.status
                && headers.equals(o.headers)
                && Arrays.equals(body, o.body);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * status + headers.hashCode()) + Arrays.hashCode(body);
    }
}
