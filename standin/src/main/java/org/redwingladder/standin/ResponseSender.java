package org.redwingladder.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.redwingladder.api.Headers;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.StreamSinkConduit;

/** Sends responses, either intact or with an injected defect. */
final class ResponseSender {
    /** How a response is sent. */
    enum Mode {
        COMPLETE,
        TRUNCATED,
        WRONG_LENGTH,
        DUPLICATED,
        INVALID
    }

    private ResponseSender() {}

    /**
     * Sends {@code response} as {@code mode} specifies.
     *
     * @param lengthError what {@link Mode#WRONG_LENGTH} adds to the {@code Content-Length}, in
     *     bytes
     */
    static void send(
            HttpServerExchange exchange, BackendResponse response, Mode mode, int lengthError)
            throws IOException {
        exchange.getResponseHeaders()
                .put(HttpString.tryFromString(Headers.REQUEST_ID), response.requestId());
        byte[] body = response.body();
        if (exchange.getRequestMethod().equals(Methods.HEAD)) {
            Exchanges.sendBytes(exchange, 200, body);
            return;
        }
        switch (mode) {
            case COMPLETE -> Exchanges.sendBytes(exchange, 200, body);
            case TRUNCATED -> sendPartial(exchange, body, body.length / 2, body.length, true);
            case WRONG_LENGTH -> sendWrongLength(exchange, body, lengthError);
            case DUPLICATED -> {
                byte[] duplicate = rawResponse(response, "200");
                exchange.addExchangeCompleteListener(
                        (done, next) -> {
                            writeRaw(done, duplicate);
                            next.proceed();
                        });
                Exchanges.sendBytes(exchange, 200, body);
            }
            case INVALID -> {
                writeRaw(exchange, rawResponse(response, "000"));
                Exchanges.closeConnection(exchange);
            }
            default -> throw new IllegalArgumentException(mode.name());
        }
    }

    private static void sendWrongLength(HttpServerExchange exchange, byte[] body, int error) {
        int announced = Math.max(0, body.length + error);
        if (announced >= body.length) {
            sendPartial(exchange, body, body.length, announced, false);
            return;
        }
        byte[] remainder = Arrays.copyOfRange(body, announced, body.length);
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    writeRaw(done, remainder);
                    next.proceed();
                });
        Exchanges.sendBytes(exchange, 200, Arrays.copyOf(body, announced));
    }

    /**
     * Sends a {@code Content-Length} of {@code announced} but only {@code sent} bytes of the body,
     * then closes the connection or leaves the response incomplete.
     */
    private static void sendPartial(
            HttpServerExchange exchange,
            byte[] body,
            int sent,
            int announced,
            boolean closeAfterwards) {
        exchange.setStatusCode(200);
        exchange.setResponseContentLength(announced);
        // Blocks on the socket, which is not allowed on the I/O thread.
        exchange.dispatch(
                () -> {
                    try {
                        writeAll(exchange.getResponseChannel(), ByteBuffer.wrap(body, 0, sent));
                        if (closeAfterwards) {
                            Exchanges.closeConnection(exchange);
                        }
                    } catch (IOException e) {
                        Exchanges.closeConnection(exchange);
                    }
                });
    }

    private static void writeAll(StreamSinkChannel channel, ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            if (channel.write(buffer) == 0) {
                channel.awaitWritable();
            }
        }
        while (!channel.flush()) {
            channel.awaitWritable();
        }
    }

    private static byte[] rawResponse(BackendResponse response, String status) throws IOException {
        ByteArrayOutputStream raw = new ByteArrayOutputStream();
        raw.write(
                Exchanges.utf8(
                        "HTTP/1.1 "
                                + status
                                + " OK\r\nContent-Length: "
                                + response.body().length
                                + "\r\n"
                                + Headers.REQUEST_ID
                                + ": "
                                + response.requestId()
                                + "\r\n\r\n"));
        raw.write(response.body());
        return raw.toByteArray();
    }

    /**
     * Writes bytes directly to the socket, bypassing HTTP framing; drops what the socket does not
     * accept without blocking.
     */
    private static void writeRaw(HttpServerExchange exchange, byte[] bytes) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        StreamSinkConduit conduit = connection.getOriginalSinkConduit();
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            while (buffer.hasRemaining() && conduit.write(buffer) > 0) {
                conduit.flush();
            }
        } catch (IOException e) {
            Exchanges.closeConnection(exchange);
        }
    }
}
