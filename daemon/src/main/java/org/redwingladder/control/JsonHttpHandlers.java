package org.redwingladder.control;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.redwingladder.api.ErrorBody;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;

/** Undertow handlers that exchange JSON messages. */
public final class JsonHttpHandlers {
    // Fits the summaries of 78 zones; a roster of 96 members has about 20 KB.
    private static final long MAX_BODY_BYTES = 4L << 20;

    private JsonHttpHandlers() {}

    /** Returns a handler that responds to GET with a value as JSON, and otherwise with 405. */
    public static HttpHandler get(Function<HttpServerExchange, Object> handler) {
        return exchange -> {
            if (allowsMethod(exchange, Methods.GET)) {
                send(exchange, 200, handler.apply(exchange));
            }
        };
    }

    /**
     * Returns a handler that parses the body of a POST and responds with the result of a future:
     * 200 on success, 400 for an unreadable body or an {@link IllegalArgumentException}, 503 for
     * any other failure, and 405 to other methods.
     *
     * @param type the type of the body
     * @param handler computes the response; it must not block
     */
    public static <T> HttpHandler post(
            Class<T> type, Function<T, ? extends CompletableFuture<?>> handler) {
        return exchange -> {
            if (!allowsMethod(exchange, Methods.POST)) {
                return;
            }
            exchange.setMaxEntitySize(MAX_BODY_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes((ex, body) -> respond(ex, body, type, handler));
        };
    }

    private static <T> void respond(
            HttpServerExchange exchange,
            byte[] body,
            Class<T> type,
            Function<T, ? extends CompletableFuture<?>> handler) {
        T message;
        try {
            message = Json.read(body, type);
        } catch (JsonException e) {
            sendError(exchange, 400, RefusalReason.BAD_REQUEST, String.valueOf(e.getMessage()));
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                        handler.apply(message)
                                .whenComplete(
                                        (result, failure) -> {
                                            if (failure == null) {
                                                send(exchange, 200, result);
                                            } else {
                                                sendError(exchange, failure);
                                            }
                                        }));
    }

    /** Sends a response with a value as its JSON body. */
    public static void send(HttpServerExchange exchange, int status, Object value) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(Json.write(value)));
    }

    /** Sends an error response; its outcome is that the request was not run. */
    public static void sendError(
            HttpServerExchange exchange, int status, RefusalReason reason, String message) {
        ErrorBody.Detail detail = new ErrorBody.Detail(reason, Outcome.NOT_RUN, 0, message, "");
        send(exchange, status, new ErrorBody(detail));
    }

    private static void sendError(HttpServerExchange exchange, Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        String message = String.valueOf(cause.getMessage());
        if (cause instanceof IllegalArgumentException) {
            sendError(exchange, 400, RefusalReason.BAD_REQUEST, message);
        } else {
            sendError(exchange, 503, RefusalReason.NOT_READY, message);
        }
    }

    private static boolean allowsMethod(HttpServerExchange exchange, HttpString method) {
        if (exchange.getRequestMethod().equals(method)) {
            return true;
        }
        exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
        sendError(
                exchange,
                405,
                RefusalReason.BAD_REQUEST,
                exchange.getRequestPath() + " allows " + method + " only");
        return false;
    }

    /** Returns a handler that responds to every request with 404. */
    public static HttpHandler notFound() {
        return exchange ->
                sendError(
                        exchange,
                        404,
                        RefusalReason.BAD_REQUEST,
                        "unknown path " + exchange.getRequestPath());
    }
}
