package org.redwingladder.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;

/** Static utilities that read requests and send responses on the I/O thread of their connection. */
final class Exchanges {
    private Exchanges() {}

    /** Handles the complete body of a request. */
    interface BodyHandler {
        void handle(HttpServerExchange exchange, byte[] body) throws IOException;
    }

    /** Handles the JSON body of a request. */
    interface JsonHandler {
        void handle(HttpServerExchange exchange, JsonNode body) throws IOException;
    }

    static void readBody(HttpServerExchange exchange, BodyHandler handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (read, body) -> {
                            try {
                                handler.handle(read, body);
                            } catch (IOException e) {
                                sendError(read, 400, "bad-request", messageOf(e));
                            }
                        },
                        (read, e) -> closeConnection(read));
    }

    static void readJson(HttpServerExchange exchange, JsonHandler handler) {
        readBody(exchange, (read, body) -> handler.handle(read, Json.MAPPER.readTree(body)));
    }

    static void sendJson(HttpServerExchange exchange, int status, Object value) {
        byte[] bytes;
        try {
            bytes = Json.MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + value.getClass(), e);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        sendBytes(exchange, status, bytes);
    }

    static void sendBytes(HttpServerExchange exchange, int status, byte[] bytes) {
        exchange.setStatusCode(status);
        exchange.setResponseContentLength(bytes.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
    }

    static void sendError(HttpServerExchange exchange, int status, String reason, String message) {
        sendJson(exchange, status, Map.of("error", Map.of("reason", reason, "message", message)));
    }

    /** Closes the connection without a response. */
    static void closeConnection(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Runs {@code handler} on the connection's I/O thread after {@code millis}. */
    static void schedule(HttpServerExchange exchange, long millis, HttpHandler handler) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        exchange.getIoThread()
                                .executeAfter(
                                        () -> handleOrClose(exchange, handler),
                                        millis,
                                        TimeUnit.MILLISECONDS));
    }

    /** Runs {@code handler}, and closes the connection if it fails. */
    static void handleOrClose(HttpServerExchange exchange, HttpHandler handler) {
        try {
            handler.handleRequest(exchange);
        } catch (Exception e) {
            closeConnection(exchange);
        }
    }

    static String query(HttpServerExchange exchange, String name, String defaultValue) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? defaultValue : values.getFirst();
    }

    /**
     * Returns the value of a numeric query parameter, or {@code defaultValue} if it is absent.
     *
     * @throws IOException if the parameter is not a number
     */
    static long queryNumber(HttpServerExchange exchange, String name, long defaultValue)
            throws IOException {
        String text = query(exchange, name, Long.toString(defaultValue));
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IOException("query parameter " + name + " is not a number: " + text, e);
        }
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String messageOf(IOException e) {
        if (e instanceof JsonProcessingException json) {
            return json.getOriginalMessage();
        }
        return String.valueOf(e.getMessage());
    }
}
