package org.redwingladder.entry;

import io.undertow.util.Methods;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.NotSentException;
import org.redwingladder.steering.Backend;
import org.xnio.XnioIoThread;

/**
 * Asks backend servers for their health while nothing else tells whether they are cold: all of them
 * while the store is away, and those at whose address nothing listens. One host asks each server
 * and tells the others. A host also asks a server on which it has lost requests, since the server
 * may have ended and return before the host uses it again.
 */
final class ServerHealthChecks {
    private static final long PERIOD_MILLIS = 1_000;

    /** Shorter than the period; covers a round trip between regions and a wait for a slot. */
    private static final long TIMEOUT_NANOS = 800_000_000L;

    private static final long CONNECT_TIMEOUT_NANOS = 300_000_000L;
    private static final int MAX_RESPONSE_BYTES = 16 << 10;

    private final RequestRouter mRouter;
    private final WireFormat mWire;
    private final LongSupplier mServersProven;
    private final AsyncHttpClient mHttpClient;
    private final XnioIoThread mThread;
    private final EntryMetrics mMetrics;
    private final Set<Backend> mInFlight = new HashSet<>();
    private boolean mStopped;

    /**
     * Creates the checks.
     *
     * @param serversProven supplies the instant up to which the table of servers is proven to be up
     *     to date
     */
    ServerHealthChecks(
            RequestRouter router,
            WireFormat wire,
            LongSupplier serversProven,
            AsyncHttpClient httpClient,
            XnioIoThread thread,
            EntryMetrics metrics) {
        mRouter = router;
        mWire = wire;
        mServersProven = serversProven;
        mHttpClient = httpClient;
        mThread = thread;
        mMetrics = metrics;
    }

    /** Starts the periodic checks, at a random time so that hosts do not check together. */
    void start() {
        schedule(ThreadLocalRandom.current().nextLong(PERIOD_MILLIS));
    }

    void stop() {
        mStopped = true;
    }

    private void schedule(long millis) {
        mThread.executeAfter(this::checkServers, millis, TimeUnit.MILLISECONDS);
    }

    private void checkServers() {
        if (mStopped) {
            return;
        }
        try {
            for (Backend backend : mRouter.serversToCheck(mServersProven.getAsLong())) {
                check(backend);
            }
        } finally {
            schedule(PERIOD_MILLIS);
        }
    }

    /** Checks a server unless a check is in flight. */
    void check(Backend backend) {
        String path = mRouter.healthPath(backend);
        if (path == null || !mInFlight.add(backend)) {
            return;
        }
        mMetrics.count("health.checks");
        long sent = System.nanoTime();
        CallRequest request =
                CallRequest.of(
                                Methods.GET,
                                Addresses.parse(backend.registration().address()),
                                path,
                                sent + TIMEOUT_NANOS)
                        .connectDeadlineNanos(sent + CONNECT_TIMEOUT_NANOS)
                        .sendCondition(() -> mRouter.maySend(backend))
                        // Only a new connection tells whether the server still listens.
                        .maxIdleNanos(backend.ejected() ? -1 : Long.MAX_VALUE)
                        .maxBufferedBytes(MAX_RESPONSE_BYTES);
        mHttpClient
                .fetch(request)
                .whenComplete(
                        (response, cause) ->
                                mThread.execute(() -> ended(backend, sent, response, cause)));
    }

    private void ended(
            Backend backend,
            long sentNanos,
            @Nullable BufferedResponse response,
            @Nullable Throwable cause) {
        mInFlight.remove(backend);
        if (response != null) {
            mRouter.recordHealth(backend, mWire.parseHealth(response.headers()), sentNanos);
            return;
        }
        // Without an answer nothing is known about the server, unless nothing listens.
        mMetrics.count("health.failed");
        if (cause instanceof NotSentException notSent) {
            mRouter.recordNotSent(backend, notSent, sentNanos);
        }
    }
}
