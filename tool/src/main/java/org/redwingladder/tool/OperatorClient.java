package org.redwingladder.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallException;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;

/** Calls the operator listener of one entry host and waits for the answer. */
final class OperatorClient implements AutoCloseable {
    private static final int MAX_ANSWER_BYTES = 64 << 20;

    private final AsyncHttpClient mCaller;
    private final InetSocketAddress mAddress;
    private final long mDeadlineNanos;

    /**
     * Holds an answer.
     *
     * @param status the HTTP status
     * @param body the JSON body; a text node if the body is not JSON
     */
    record Answer(int status, JsonNode body) {
        boolean ok() {
            return status / 100 == 2;
        }
    }

    OperatorClient(String address, long timeoutMillis) throws ToolException, IOException {
        try {
            mAddress = Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw new ToolException(ExitCode.USAGE, "--operator: " + e.getMessage());
        }
        mCaller = Command.newCaller();
        mDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    Answer get(String path) throws ToolException {
        return call(Methods.GET, path, Map.of(), null);
    }

    Answer post(String path, Object body) throws ToolException {
        return call(Methods.POST, path, Map.of(), Json.write(body));
    }

    Answer put(String path, Map<String, String> headers, byte[] body) throws ToolException {
        return call(Methods.PUT, path, headers, body);
    }

    /** Returns the body of a successful answer. */
    static JsonNode require(Answer answer) throws ToolException {
        if (answer.ok()) {
            return answer.body();
        }
        throw new ToolException(ExitCode.FAILURE, message(answer), answer.body());
    }

    static String message(Answer answer) {
        JsonNode message = answer.body().at("/error/message");
        String text =
                message.isTextual() ? message.textValue() : "the entry host answered with status";
        return text + " (" + answer.status() + ")";
    }

    private Answer call(
            HttpString method,
            String path,
            Map<String, String> headers,
            byte @org.jspecify.annotations.Nullable [] body)
            throws ToolException {
        CallRequest request = CallRequest.of(method, mAddress, path, mDeadlineNanos);
        request.maxBufferedBytes(MAX_ANSWER_BYTES);
        headers.forEach((name, value) -> request.header(HttpString.tryFromString(name), value));
        if (body != null) {
            request.header(io.undertow.util.Headers.CONTENT_TYPE, "application/json").body(body);
        }
        try {
            BufferedResponse answer =
                    mCaller.fetch(request).get(leftMillis() + 1_000, TimeUnit.MILLISECONDS);
            return new Answer(answer.status(), parse(answer.body()));
        } catch (ExecutionException e) {
            boolean neverSent = e.getCause() instanceof CallException call && call.neverSent();
            boolean read = method.equals(Methods.GET);
            throw new ToolException(
                    neverSent || read ? ExitCode.FAILURE : ExitCode.UNKNOWN,
                    (neverSent ? "cannot reach " : "no answer from ")
                            + Addresses.format(mAddress)
                            + ": "
                            + String.valueOf(e.getCause()).replaceFirst("^[^:]*: ", ""));
        } catch (TimeoutException e) {
            throw new ToolException(ExitCode.UNKNOWN, "no answer in time");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ToolException(ExitCode.UNKNOWN, "interrupted");
        }
    }

    private long leftMillis() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - System.nanoTime()));
    }

    private static JsonNode parse(byte[] body) {
        if (body.length == 0) {
            return JsonNodeFactory.instance.objectNode();
        }
        try {
            return Json.tree(body);
        } catch (JsonException e) {
            return JsonNodeFactory.instance.textNode(
                    new String(body, java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    @Override
    public void close() {
        mCaller.close();
    }
}
