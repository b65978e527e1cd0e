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

/** Serves JSON messages over Undertow. */
public final class JsonHttpHandlers {
    // A roster of 96 members has about 20 KB; summaries of 78 zones fit well.
    private static final long MAX_BODY_BYTES = 4L << 20;

    private JsonHttpHandlers() {}

    /** Returns a handler that answers GET with the JSON form of a value. */
    public static HttpHandler get(Function<HttpServerExchange, Object> answer) {
        return exchange -> {
            if (allows(exchange, Methods.GET)) {
                send(exchange, 200, answer.apply(exchange));
            }
        };
    }

    /**
     * Returns a handler that reads the body of a POST and answers with the result of a future.
     *
     * @param type the type of the body
     * @param answer gives the answer; it must not block
     */
    public static <T> HttpHandler post(
            Class<T> type, Function<T, ? extends CompletableFuture<?>> answer) {
        return exchange -> {
            if (!allows(exchange, Methods.POST)) {
                return;
            }
            exchange.setMaxEntitySize(MAX_BODY_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes((ex, body) -> answer(ex, body, type, answer));
        };
    }

    private static <T> void answer(
            HttpServerExchange exchange,
            byte[] body,
            Class<T> type,
            Function<T, ? extends CompletableFuture<?>> answer) {
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
                        answer.apply(message)
                                .whenComplete(
                                        (result, failure) -> {
                                            if (failure == null) {
                                                send(exchange, 200, result);
                                            } else {
                                                sendError(exchange, failure);
                                            }
                                        }));
    }

    /** Sends a value as the JSON body of an answer. */
    public static void send(HttpServerExchange exchange, int status, Object value) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(Json.write(value)));
    }

    /** Sends an error body. */
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

    private static boolean allows(HttpServerExchange exchange, HttpString method) {
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

    /** Returns a handler that answers an unknown path with an error body. */
    public static HttpHandler notFound() {
        return exchange ->
                sendError(
                        exchange,
                        404,
                        RefusalReason.BAD_REQUEST,
                        "unknown path " + exchange.getRequestPath());
    }
}
