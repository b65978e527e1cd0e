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

/** Client of the peer listener's settings routes: pulls and pushes settings. */
final class SettingsPeerClient {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    static final String PULL_PATH = "/peer/v1/settings";
    static final String PUSH_PATH = "/peer/v1/settings/changes";
    private static final long CALL_TIMEOUT_MILLIS = 2000;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private final AsyncHttpClient mCaller;

    SettingsPeerClient(AsyncHttpClient caller) {
        mCaller = caller;
    }

    /** Requests the settings after a version; completes with null if the call fails. */
    CompletableFuture<@Nullable SettingsMessage> pull(String peerAddress, long after) {
        return call(
                CallRequest.of(
                                Methods.GET,
                                Addresses.parse(peerAddress),
                                PULL_PATH + "?after=" + after,
                                deadline())
                        .maxBufferedBytes(MAX_RESPONSE_BYTES));
    }

    /** Sends settings; the response contains the receiver's version, null if the call fails. */
    CompletableFuture<@Nullable SettingsMessage> push(String peerAddress, SettingsMessage message) {
        return call(
                CallRequest.of(Methods.POST, Addresses.parse(peerAddress), PUSH_PATH, deadline())
                        .json(message));
    }

    private CompletableFuture<@Nullable SettingsMessage> call(CallRequest request) {
        return mCaller.fetch(request).handle((answer, failure) -> parse(answer));
    }

    private static @Nullable SettingsMessage parse(@Nullable BufferedResponse answer) {
        if (answer == null || answer.status() != 200) {
            return null;
        }
        try {
            return Json.read(answer.body(), SettingsMessage.class);
        } catch (JsonException e) {
            LOG.atWarning().log("settings: malformed response from a peer: %s", e.getMessage());
            return null;
        }
    }

    private static long deadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS);
    }
}
