package org.redwingladder.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallException;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;

/**
 * Calls the platform's table, object store and host list.
 *
 * <p>Every call has an absolute deadline on {@link System#nanoTime}. Futures fail with a {@link
 * PlatformException}, as the cause of a {@link CompletionException} where stages are chained, and
 * complete on an I/O thread, so that what follows must not block. After a failure the next call
 * goes to the next address.
 */
public final class PlatformClient {
    /** Rows and objects are a few hundred kilobytes at most; this bounds a faulty answer. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private final AsyncHttpClient mCaller;
    private final List<InetSocketAddress> mAddresses;
    private final AtomicInteger mNext = new AtomicInteger();

    private PlatformClient(AsyncHttpClient caller, List<InetSocketAddress> addresses) {
        mCaller = caller;
        mAddresses = addresses;
    }

    /** Returns a client of the platform at {@code addresses}, of which there is at least one. */
    public static PlatformClient create(AsyncHttpClient caller, List<InetSocketAddress> addresses) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("the platform has no address");
        }
        return new PlatformClient(caller, List.copyOf(addresses));
    }

    /** Reads one row; the future holds nothing if it is absent. */
    public CompletableFuture<Optional<Row>> row(String key, long deadlineNanos) {
        return call(Methods.GET, "/table/rows/" + encode(key), null, deadlineNanos)
                .thenApply(
                        answer ->
                                answer.status() == 404
                                        ? Optional.empty()
                                        : Optional.of(parseRow(okTree(answer))));
    }

    /**
     * Reads rows whose key starts with {@code prefix} and whose version is greater than {@code
     * after}, at most {@code limit}.
     */
    public CompletableFuture<List<Row>> rows(
            String prefix, long after, int limit, long deadlineNanos) {
        String path =
                "/table/rows?prefix=" + encode(prefix) + "&after=" + after + "&limit=" + limit;
        return call(Methods.GET, path, null, deadlineNanos)
                .thenApply(answer -> parseRows(okTree(answer).path("rows")));
    }

    /**
     * Runs a transaction. If its answer is lost the same transaction is sent again, which the
     * platform recognises by its id, and a conflict with rows that hold this transaction's own
     * values counts as committed. The future fails only if the transaction certainly did not run.
     */
    public CompletableFuture<TransactionResult> commit(
            Transaction transaction, long deadlineNanos) {
        return new Commit(this, transaction, deadlineNanos).start();
    }

    /** Reads an object; the future holds nothing if it is absent. */
    public CompletableFuture<Optional<byte[]>> object(String name, long deadlineNanos) {
        return call(Methods.GET, "/objects/" + encode(name), null, deadlineNanos)
                .thenApply(
                        answer ->
                                answer.status() == 404
                                        ? Optional.empty()
                                        : Optional.of(ok(answer).body()));
    }

    /** Writes an object. */
    public CompletableFuture<Void> putObject(String name, byte[] bytes, long deadlineNanos) {
        return call(Methods.PUT, "/objects/" + encode(name), bytes, deadlineNanos)
                .thenAccept(PlatformClient::ok);
    }

    /** Reads the list of hosts. */
    public CompletableFuture<HostList> hosts(long deadlineNanos) {
        return call(Methods.GET, "/hosts", null, deadlineNanos)
                .thenApply(
                        answer -> {
                            try {
                                return Json.read(ok(answer).body(), HostList.class);
                            } catch (JsonException e) {
                                throw badAnswer(e.getMessage());
                            }
                        });
    }

    CompletableFuture<BufferedResponse> call(
            HttpString method,
            String path,
            byte @org.jspecify.annotations.Nullable [] body,
            long deadlineNanos) {
        int index = mNext.get();
        CallRequest request =
                CallRequest.of(
                                method,
                                mAddresses.get(Math.floorMod(index, mAddresses.size())),
                                path,
                                deadlineNanos)
                        .maxBufferedBytes(MAX_ANSWER_BYTES);
        if (body != null) {
            request.header(Headers.CONTENT_TYPE, "application/json").body(body);
        }
        CompletableFuture<BufferedResponse> result = new CompletableFuture<>();
        mCaller.fetch(request)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure == null) {
                                result.complete(answer);
                            } else {
                                mNext.compareAndSet(index, index + 1);
                                result.completeExceptionally(unavailable(failure));
                            }
                        });
        return result;
    }

    private static PlatformException unavailable(Throwable failure) {
        boolean notRun = failure instanceof CallException call && call.neverSent();
        return new PlatformException("platform: " + failure.getMessage(), notRun);
    }

    private static BufferedResponse ok(BufferedResponse answer) {
        if (answer.status() / 100 != 2) {
            throw badAnswer("status " + answer.status());
        }
        return answer;
    }

    private static JsonNode okTree(BufferedResponse answer) {
        return tree(ok(answer));
    }

    static JsonNode tree(BufferedResponse answer) {
        try {
            return Json.tree(answer.body());
        } catch (JsonException e) {
            throw badAnswer(e.getMessage());
        }
    }

    static CompletionException badAnswer(String message) {
        return new CompletionException(
                new PlatformException("platform: unexpected answer: " + message, false));
    }

    static List<Row> parseRows(JsonNode array) {
        List<Row> rows = new ArrayList<>();
        array.forEach(row -> rows.add(parseRow(row)));
        return rows;
    }

    private static Row parseRow(JsonNode row) {
        if (!row.path("key").isTextual() || !row.path("version").isIntegralNumber()) {
            throw badAnswer("expected {key, version, value}");
        }
        JsonNode value = row.get("value");
        return new Row(
                row.get("key").textValue(),
                row.get("version").longValue(),
                value == null || value.isNull() ? null : value);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, UTF_8).replace("+", "%20").replace("%2F", "/");
    }
}
