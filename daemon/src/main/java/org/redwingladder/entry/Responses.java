package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes answers of the host itself. */
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

    /** Sends a message of {@link PeerCodec}. */
    static void packed(HttpServerExchange exchange, byte[] message) {
        exchange.setStatusCode(200);
        send(exchange, "application/octet-stream", message);
    }

    static void send(HttpServerExchange exchange, String type, byte[] body) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
