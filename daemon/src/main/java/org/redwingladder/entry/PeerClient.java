package org.redwingladder.entry;

import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.JsonException;
import org.xnio.XnioIoThread;

/** Calls other entry hosts and logs when one becomes unreachable or reachable again. */
final class PeerClient {
    /** Covers a round trip between regions and a pause of a busy host. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private static final int MAX_MESSAGE_BYTES = 8 << 20;
    private static final int NOT_FOUND = 404;

    private final AsyncHttpClient mHttpClient;
    private final XnioIoThread mThread;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private final Set<String> mUnreachable = new HashSet<>();

    /** Reads the response to a call. */
    interface BodyReader {
        /**
         * Reads the body of a successful response.
         *
         * @throws JsonException if the body is malformed, which counts as a failed call
         */
        void read(byte[] body) throws JsonException;

        /** Called if the host runs a release without the path; it is reachable. */
        default void unsupported() {}

        /** Called at the end of the call, also of a failed one. */
        default void ended() {}
    }

    PeerClient(
            AsyncHttpClient httpClient, XnioIoThread thread, EventLog log, EntryMetrics metrics) {
        mHttpClient = httpClient;
        mThread = thread;
        mLog = log;
        mMetrics = metrics;
    }

    /** Sends a message; the reader is called on the I/O thread. */
    void call(String address, String path, byte[] message, BodyReader reader) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MILLIS);
        call(address, path, message, deadline, reader);
    }

    /** Sends a message with a deadline; the reader is called on the I/O thread. */
    void call(String address, String path, byte[] message, long deadlineNanos, BodyReader reader) {
        InetSocketAddress target;
        try {
            target = Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            callEnded(address, null, e, reader);
            return;
        }
        CallRequest request =
                CallRequest.of(Methods.POST, target, path, deadlineNanos)
                        .body(message)
                        .maxBufferedBytes(MAX_MESSAGE_BYTES);
        mHttpClient
                .fetch(request)
                .whenComplete(
                        (response, cause) ->
                                mThread.execute(() -> callEnded(address, response, cause, reader)));
    }

    private void callEnded(
            String address,
            @Nullable BufferedResponse response,
            @Nullable Throwable cause,
            BodyReader reader) {
        String failure = failure(response, cause, reader);
        if (failure == null) {
            if (mUnreachable.remove(address)) {
                mLog.event("peers", "regained").with("address", address).write();
            }
        } else {
            mMetrics.count("peers.failed");
            if (mUnreachable.add(address)) {
                mLog.event("peers", "lost").with("address", address).with("cause", failure).write();
            }
        }
        reader.ended();
    }

    private static @Nullable String failure(
            @Nullable BufferedResponse response, @Nullable Throwable cause, BodyReader reader) {
        if (response == null) {
            return cause == null ? "no response" : String.valueOf(cause.getMessage());
        }
        if (response.status() == NOT_FOUND) {
            reader.unsupported();
            return null;
        }
        if (response.status() != 200) {
            return "status " + response.status();
        }
        try {
            reader.read(response.body());
            return null;
        } catch (JsonException | RuntimeException e) {
            return "malformed response: " + e;
        }
    }
}
