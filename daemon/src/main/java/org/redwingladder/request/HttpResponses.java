package org.redwingladder.request;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.nio.ByteBuffer;
import org.redwingladder.api.ErrorBody;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.Json;
import org.redwingladder.http.StreamedResponse;

/** Writes responses, refusals and JSON documents to HTTP exchanges. */
final class HttpResponses {
    private static final String JSON = "application/json";

    private HttpResponses() {}

    /** Writes a buffered response of a backend server. */
    static void writeWhole(
            HttpServerExchange exchange,
            String requestId,
            BufferedResponse answer,
            String backend) {
        writeHead(exchange, requestId, answer.status(), answer.headers(), backend);
        HeaderMap headers = exchange.getResponseHeaders();
        if (Methods.HEAD.equals(exchange.getRequestMethod())) {
            String length = answer.headers().getFirst(Headers.CONTENT_LENGTH);
            if (length != null) {
                headers.put(Headers.CONTENT_LENGTH, length);
            }
            exchange.endExchange();
        } else if (answer.body().length == 0) {
            exchange.endExchange();
        } else {
            headers.put(Headers.CONTENT_LENGTH, answer.body().length);
            exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
        }
    }

    /** Streams a response of a backend server. */
    static void writeStreamed(
            HttpServerExchange exchange,
            String requestId,
            StreamedResponse answer,
            String backend,
            ResponseSink.Transfer transfer) {
        writeHead(exchange, requestId, answer.status(), answer.headers(), backend);
        if (answer.length() >= 0) {
            exchange.setResponseContentLength(answer.length());
        }
        answer.transferTo(exchange, transfer.pacer(), transfer.handler());
    }

    private static void writeHead(
            HttpServerExchange exchange,
            String requestId,
            int status,
            HeaderMap from,
            String backend) {
        exchange.setStatusCode(status);
        HeaderMap headers = exchange.getResponseHeaders();
        WireHeaders.copyEndToEnd(from, headers);
        headers.put(WireHeaders.REQUEST_ID, requestId);
        headers.put(WireHeaders.BACKEND, backend);
    }

    /** Writes a refusal as a JSON error body, with the status of its reason. */
    static void writeRefusal(HttpServerExchange exchange, String requestId, Refusal refusal) {
        exchange.setStatusCode(refusal.reason().status());
        HeaderMap headers = exchange.getResponseHeaders();
        headers.put(WireHeaders.REQUEST_ID, requestId);
        if (refusal.outcome() == Outcome.NOT_RUN) {
            headers.put(WireHeaders.NOT_RUN, "true");
        }
        writeJson(exchange, ErrorBody.of(refusal, requestId));
    }

    /** Writes a JSON document with the status that is set on the exchange. */
    static void writeJson(HttpServerExchange exchange, Object value) {
        byte[] body = Json.write(value);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
