package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.ErrorBody;
import org.redwingladder.api.Headers;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.http.NotSentException;
import org.redwingladder.http.ResponseLostException;

/** Sends the messages of a client over HTTP. */
final class HttpTransport implements Transport {
    /** The largest answer that is read; the client needs each one whole to check it. */
    private static final int MAX_ANSWER_BYTES = 256 << 20;

    private final AsyncHttpClient mCaller;

    HttpTransport(AsyncHttpClient caller) {
        mCaller = caller;
    }

    @Override
    public CompletableFuture<AttemptResult> send(
            String address, Work work, String requestId, @Nullable String token) {
        InetSocketAddress socketAddress = Addresses.parse(address);
        CallRequest request =
                CallRequest.of(
                                HttpString.tryFromString(work.method()),
                                socketAddress,
                                "/v1/services/" + encode(work.service()) + work.path(),
                                nanosOf(work.deadlineMillis()))
                        .maxBufferedBytes(MAX_ANSWER_BYTES)
                        .header(name(Headers.REQUEST_ID), requestId)
                        .header(name(Headers.BLOCK), Integer.toString(work.block()))
                        .header(name(Headers.DEADLINE), Long.toString(work.deadlineMillis()));
        if (token != null) {
            request.header(name(Headers.TOKEN), token);
        }
        if (work.body().length > 0) {
            request.body(work.body());
        }
        return mCaller.fetch(request)
                .handle(
                        (answer, failure) ->
                                failure == null
                                        ? AnswerCheck.check(work, requestId, answer)
                                        : failed(failure));
    }

    @Override
    public CompletableFuture<LookupResult> lookup(
            String address, String service, int block, boolean once, long deadlineMillis) {
        String path =
                "/v1/lookup?service="
                        + encode(service)
                        + "&block="
                        + block
                        + (once ? "&once=true" : "");
        CallRequest request =
                CallRequest.of(
                        Methods.GET, Addresses.parse(address), path, nanosOf(deadlineMillis));
        return mCaller.fetch(request)
                .handle(
                        (answer, failure) ->
                                failure == null ? lookupResult(answer) : lost(failure));
    }

    /** Returns the refusal that an answer carries, if it is one. */
    static Optional<Refusal> refusalOf(BufferedResponse answer) {
        if (answer.status() < 400) {
            return Optional.empty();
        }
        try {
            ErrorBody body = Json.read(answer.body(), ErrorBody.class);
            return body.error() == null ? Optional.empty() : Optional.of(body.refusal());
        } catch (JsonException | NullPointerException e) {
            return Optional.empty();
        }
    }

    private static LookupResult lookupResult(BufferedResponse answer) {
        Optional<Refusal> refusal = refusalOf(answer);
        if (refusal.isPresent()) {
            return new LookupResult.Refused(refusal.get());
        }
        if (answer.status() != 200) {
            return new LookupResult.Failed("status-" + answer.status());
        }
        try {
            return new LookupResult.Found(Json.read(answer.body(), LookupResponse.class));
        } catch (JsonException e) {
            return new LookupResult.Failed("bad-answer");
        }
    }

    private static LookupResult lost(Throwable failure) {
        return new LookupResult.Failed(reasonOf(failure));
    }

    private static AttemptResult failed(Throwable failure) {
        return failure instanceof NotSentException
                ? new AttemptResult.NeverSent(reasonOf(failure))
                : new AttemptResult.Lost(reasonOf(failure), String.valueOf(failure.getMessage()));
    }

    private static String reasonOf(Throwable failure) {
        if (failure instanceof NotSentException notSent) {
            return "never-sent-" + wireName(notSent.reason());
        }
        return failure instanceof ResponseLostException lost
                ? "lost-" + wireName(lost.reason())
                : "lost-bad-answer";
    }

    private static String wireName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static long nanosOf(long epochMillis) {
        long left = Math.max(0, epochMillis - System.currentTimeMillis());
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(left);
    }

    private static HttpString name(String header) {
        return HttpString.tryFromString(header);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, UTF_8).replace("+", "%20");
    }
}
