package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** Sends responses that the host creates itself. */
final class Responses {
    private static final int MISDIRECTED_REQUEST = 421;

    /** The statuses that promise a client that its request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES =
            Set.of(
                    StatusCodes.REQUEST_TIME_OUT,
                    MISDIRECTED_REQUEST,
                    StatusCodes.TOO_MANY_REQUESTS,
                    StatusCodes.SERVICE_UNAVAILABLE);

    private Responses() {}

    /** Returns whether a status promises that the request has not run and never will. */
    static boolean promisesNotRun(int status) {
        return NOT_RUN_STATUSES.contains(status);
    }

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
