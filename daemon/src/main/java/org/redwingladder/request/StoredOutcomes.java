package org.redwingladder.request;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.util.Map;
import java.util.TreeMap;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.once.StoredResponse;

/**
 * Converts HTTP responses to stored outcomes, which are replayed to repeated requests, and back.
 */
final class StoredOutcomes {
    private StoredOutcomes() {}

    static StoredResponse of(BufferedResponse answer, String backend) {
        HeaderMap endToEnd = new HeaderMap();
        WireHeaders.copyEndToEnd(answer.headers(), endToEnd);
        Map<String, String> headers = new TreeMap<>();
        for (HeaderValues values : endToEnd) {
            headers.put(values.getHeaderName().toString(), values.getFirst());
        }
        headers.put(WireHeaders.BACKEND.toString(), backend);
        return StoredResponse.of(answer.status(), headers, answer.body());
    }

    static BufferedResponse toAnswer(StoredResponse outcome) {
        HeaderMap headers = new HeaderMap();
        outcome.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        return new BufferedResponse(outcome.status(), headers, outcome.body());
    }

    static String backend(StoredResponse outcome) {
        return outcome.headers().getOrDefault(WireHeaders.BACKEND.toString(), "unknown");
    }
}
