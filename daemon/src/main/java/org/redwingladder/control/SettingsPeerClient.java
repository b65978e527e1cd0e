package org.redwingladder.control;

import com.google.common.flogger.FluentLogger;
import io.undertow.util.Methods;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;

/** Calls other entry hosts to hand on settings. */
final class SettingsPeerClient {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    static final String PULL = "/peer/v1/settings";
    static final String PUSH = "/peer/v1/settings/changes";
    private static final long CALL_MILLIS = 2000;
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private final AsyncHttpClient mCaller;

    SettingsPeerClient(AsyncHttpClient caller) {
        mCaller = caller;
    }

    /** Asks for what follows a version; the future holds null if there is no answer. */
    CompletableFuture<@Nullable SettingsMessage> pull(String peerAddress, long after) {
        return ask(
                CallRequest.of(
                                Methods.GET,
                                Addresses.parse(peerAddress),
                                PULL + "?after=" + after,
                                deadline())
                        .maxBufferedBytes(MAX_ANSWER_BYTES));
    }

    /** Hands on settings; the answer tells the receiver's version. */
    CompletableFuture<@Nullable SettingsMessage> push(String peerAddress, SettingsMessage message) {
        return ask(
                CallRequest.of(Methods.POST, Addresses.parse(peerAddress), PUSH, deadline())
                        .json(message));
    }

    private CompletableFuture<@Nullable SettingsMessage> ask(CallRequest request) {
        return mCaller.fetch(request).handle((answer, failure) -> read(answer));
    }

    private static @Nullable SettingsMessage read(@Nullable BufferedResponse answer) {
        if (answer == null || answer.status() != 200) {
            return null;
        }
        try {
            return Json.read(answer.body(), SettingsMessage.class);
        } catch (JsonException e) {
            LOG.atWarning().log("settings: unreadable answer of a peer: %s", e.getMessage());
            return null;
        }
    }

    private static long deadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_MILLIS);
    }
}
