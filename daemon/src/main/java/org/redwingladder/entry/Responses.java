package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Sends responses that the host creates itself. */
final class Responses {
    private Responses() {}

    static void text(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        send(exchange, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }

    static void json(HttpServerExchange exchange, byte[] body) {
        exchange.setStatusCode(200);
        send(exchange, "application/json", body);
    }

    /** Sends a message that {@link PeerCodec} encoded. */
    static void binary(HttpServerExchange exchange, byte[] message) {
        exchange.setStatusCode(200);
        send(exchange, "application/octet-stream", message);
    }

    static void send(HttpServerExchange exchange, String type, byte[] body) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
