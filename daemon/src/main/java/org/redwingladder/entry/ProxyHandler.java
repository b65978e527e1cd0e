package org.redwingladder.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferBudget;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.ReadyEvents;
import org.redwingladder.http.RequestBody;
import org.redwingladder.http.ResponseBodyWriter;
import org.redwingladder.http.StreamedResponse;
import org.redwingladder.request.ClientDisconnectDetector;
import org.redwingladder.steering.NotRunProof;
import org.redwingladder.steering.Route;
import org.redwingladder.steering.RouteTable;
import org.redwingladder.steering.SendResult;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * Receives client requests, matches them to routes and starts their forwarding; contains what all
 * {@link ProxiedRequest}s share.
 */
final class ProxyHandler implements HttpHandler {
    private static final byte[] EMPTY = new byte[0];

    /** One of this many answered requests is logged. */
    private static final int LOG_SAMPLING_INTERVAL = 16;

    private static final long NOT_READY_RETRY_AFTER_MILLIS = 250;
    private static final String STOPPING_REASON = "the host stops";

    private final RequestRouter mRouter;
    private final WireFormat mWire;
    private final AsyncHttpClient mHttpClient;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private final RequestRateMeter mRequestRates;
    private final BufferBudget mClientBodies;
    private final RefusalGuard mRefusalGuard;
    private final Set<ProxiedRequest> mInFlight = new HashSet<>();
    private BooleanSupplier mStopping = () -> false;
    private BooleanSupplier mRefusing = () -> false;
    private BooleanSupplier mStarting = () -> false;
    private int mResponses;

    /**
     * A request that matched a route.
     *
     * @param path the path and query as the client encoded them
     * @param deadlineNanos when the response is due, as of {@link System#nanoTime}
     */
    record RoutedRequest(
            Route route,
            String service,
            String path,
            WireFormat.ClientHeaders client,
            long arrivedNanos,
            long deadlineNanos) {}

    ProxyHandler(
            RequestRouter router,
            WireFormat wire,
            AsyncHttpClient httpClient,
            EventLog log,
            EntryMetrics metrics,
            RequestRateMeter requestRates,
            BufferBudget clientBodies) {
        mRouter = router;
        mWire = wire;
        mHttpClient = httpClient;
        mLog = log;
        mMetrics = metrics;
        mRequestRates = requestRates;
        mClientBodies = clientBodies;
        mRefusalGuard = new RefusalGuard(log, metrics);
    }

    /**
     * Sets the suppliers of the phase of a graceful shutdown.
     *
     * @param stopping whether connections are closed after their response
     * @param refusing whether new requests are refused, as too little time is left to answer them
     */
    void shutdownPhase(BooleanSupplier stopping, BooleanSupplier refusing) {
        mStopping = stopping;
        mRefusing = refusing;
    }

    /**
     * Sets the supplier that tells whether this host does not know yet what other hosts know, such
     * as the rate limits of servers; new requests are refused meanwhile.
     */
    void startPhase(BooleanSupplier starting) {
        mStarting = starting;
    }

    RequestRouter router() {
        return mRouter;
    }

    WireFormat wire() {
        return mWire;
    }

    AsyncHttpClient httpClient() {
        return mHttpClient;
    }

    /** Returns the memory for bodies of requests and responses of clients. */
    BufferBudget clientBodies() {
        return mClientBodies;
    }

    EventLog log() {
        return mLog;
    }

    EntryMetrics metrics() {
        return mMetrics;
    }

    /** Counts a response and returns whether it is sampled for the log. */
    boolean sampleResponse() {
        return mResponses++ % LOG_SAMPLING_INTERVAL == 0;
    }

    /** Returns the number of requests in flight. */
    int inFlight() {
        return mInFlight.size();
    }

    /** Removes a finished request from those in flight. */
    void finished(ProxiedRequest request) {
        mInFlight.remove(request);
    }

    /** Fails all requests in flight. */
    void abortAll() {
        new ArrayList<>(mInFlight).forEach(ProxiedRequest::abort);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long now = System.nanoTime();
        XnioIoThread thread = exchange.getIoThread();
        exchange.dispatch(task -> ReadyEvents.runAfter(thread, task), () -> handle(exchange, now));
    }

    private void handle(HttpServerExchange exchange, long now) {
        if (!exchange.getConnection().isOpen()) {
            return;
        }
        mMetrics.count("request.received");
        mRefusalGuard.install(exchange);
        if (mStopping.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        WireFormat.ClientHeaders client = mWire.parseClientHeaders(exchange.getRequestHeaders());
        RouteTable routes = mRouter.routes();
        if (routes == null || mStarting.getAsBoolean() || mRefusing.getAsBoolean()) {
            refuseNotReady(exchange, client, notReadyReason(routes));
            return;
        }
        String target = target(exchange);
        Route route = routes.match(exchange.getHostName(), path(target));
        if (route == null) {
            deny(exchange, client, 404, "no route for " + exchange.getHostName() + path(target));
            return;
        }
        if (client.requestId() == null) {
            deny(exchange, client, 400, "missing request id");
            return;
        }
        long timeout = route.timeoutMillis();
        if (client.timeoutMillis() >= 0) {
            timeout = Math.min(timeout, client.timeoutMillis());
        }
        RoutedRequest request =
                new RoutedRequest(
                        route,
                        mRouter.chooseService(route),
                        target,
                        client,
                        now,
                        now + timeout * 1_000_000L);
        mRequestRates.count(request.service());
        receiveBody(exchange, request);
    }

    private String notReadyReason(@Nullable RouteTable routes) {
        if (routes == null) {
            return "no settings yet";
        }
        return mStarting.getAsBoolean() ? "no answer of another host yet" : STOPPING_REASON;
    }

    private void receiveBody(HttpServerExchange exchange, RoutedRequest request) {
        if (exchange.isRequestComplete()) {
            forward(exchange, request, RequestBody.Held.of(EMPTY));
            return;
        }
        RequestBodyReader.read(
                exchange,
                mClientBodies,
                RequestBodyReader.MAX_HELD_BYTES,
                new BodyReceiver(exchange, request));
    }

    /** Continues with a request when its body has been read. */
    private final class BodyReceiver implements RequestBodyReader.Receiver {
        private final HttpServerExchange mExchange;
        private final RoutedRequest mRequest;

        BodyReceiver(HttpServerExchange exchange, RoutedRequest request) {
            mExchange = exchange;
            mRequest = request;
        }

        @Override
        public void received(RequestBody body) {
            forward(mExchange, mRequest, body);
        }

        @Override
        public void tooLarge() {
            mExchange.setPersistent(false);
            deny(mExchange, mRequest.client(), 413, "request body too large");
        }

        @Override
        public void disconnected(IOException cause) {
            bodyLost(mExchange, mRequest, cause);
        }
    }

    private void forward(HttpServerExchange exchange, RoutedRequest request, RequestBody body) {
        if (mStopping.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        if (mRefusing.getAsBoolean()) {
            // The host began to stop while the body arrived.
            refuseNotReady(exchange, request.client(), STOPPING_REASON);
            return;
        }
        ProxiedRequest proxied = new ProxiedRequest(this, exchange, request, body);
        mInFlight.add(proxied);
        ClientConnections.onClose(exchange, proxied::clientDisconnected);
        switch (body) {
            case RequestBody.Held held -> bodyEnded(exchange, proxied);
            case RequestBody.Streamed streamed ->
                    streamed.listener(
                            new RequestBody.Streamed.SourceListener() {
                                @Override
                                public void ended() {
                                    bodyEnded(exchange, proxied);
                                }

                                @Override
                                public void failed(IOException cause) {
                                    proxied.clientDisconnected();
                                    bodyLost(exchange, request, cause);
                                }
                            });
        }
        proxied.start();
    }

    /** Closes the connection of a client that left or exceeded a limit within its body. */
    private void bodyLost(HttpServerExchange exchange, RoutedRequest request, IOException cause) {
        mLog.event("request", "body-lost")
                .with("id", request.client().requestId())
                .with("cause", cause)
                .write();
        IoUtils.safeClose(exchange.getConnection());
    }

    private static void bodyEnded(HttpServerExchange exchange, ProxiedRequest proxied) {
        ClientConnections.bodyReceived(exchange);
        ClientDisconnectDetector.start(exchange).onDisconnect(proxied::clientDisconnected);
    }

    /** Returns the path and query as the client encoded them. */
    private static String target(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        if (exchange.isHostIncludedInRequestURI()) {
            int path = uri.indexOf('/', uri.indexOf("//") + 2);
            uri = path < 0 ? "/" : uri.substring(path);
        }
        String query = exchange.getQueryString();
        return query.isEmpty() ? uri : uri + '?' + query;
    }

    private static String path(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private void refuseNotReady(
            HttpServerExchange exchange, WireFormat.ClientHeaders client, String reason) {
        mMetrics.count("request.refused.not-ready");
        mLog.event("request", "refused")
                .with("id", client.requestId())
                .with("reason", reason)
                .with("proof", NotRunProof.ofUnsentRequest())
                .write();
        refuse(exchange, NotRunProof.ofUnsentRequest(), reason, NOT_READY_RETRY_AFTER_MILLIS);
    }

    private void deny(
            HttpServerExchange exchange,
            WireFormat.ClientHeaders client,
            int status,
            @Nullable String reason) {
        mMetrics.count("request.denied." + status);
        mLog.event("request", "denied")
                .with("id", client.requestId())
                .with("status", status)
                .with("reason", reason)
                .write();
        respond(exchange, status, reason + "\n");
    }

    /** Tells the client that its request has not run and when to retry. */
    void refuse(
            HttpServerExchange exchange, NotRunProof proof, String reason, long retryAfterMillis) {
        if (exchange.isResponseStarted()) {
            return;
        }
        RefusalGuard.refuse(exchange, proof);
        mWire.writeRetryAfter(exchange.getResponseHeaders(), retryAfterMillis);
        Responses.text(exchange, exchange.getStatusCode(), "not run: " + reason + "\n");
    }

    /**
     * Sends a text response of this host, unless a response has already started.
     *
     * @throws IllegalArgumentException if the status promises that the request has not run; see
     *     {@link #refuse}
     */
    void respond(HttpServerExchange exchange, int status, String text) {
        if (SendResult.promisesNotRun(status)) {
            throw new IllegalArgumentException("status " + status + " needs a proof");
        }
        if (exchange.isResponseStarted()) {
            return;
        }
        Responses.text(exchange, status, text);
    }

    /** Sends a buffered response of a backend server, unless a response has already started. */
    void forwardResponse(HttpServerExchange exchange, BufferedResponse response) {
        if (exchange.isResponseStarted()) {
            response.release();
            return;
        }
        ClientConnections.onRequestEnd(exchange, response::release);
        exchange.setStatusCode(response.status());
        mWire.writeClientHeaders(response.headers(), exchange.getResponseHeaders());
        if (Methods.HEAD.equals(exchange.getRequestMethod()) || response.body().length == 0) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
            exchange.endExchange();
        } else {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, response.body().length);
            ResponseBodyWriter.send(exchange, response.body());
        }
    }

    /** Streams a large response of a backend server as it arrives. */
    void forwardResponse(
            HttpServerExchange exchange,
            StreamedResponse response,
            StreamedResponse.TransferHandler handler) {
        exchange.setStatusCode(response.status());
        mWire.writeClientHeaders(response.headers(), exchange.getResponseHeaders());
        if (response.length() >= 0) {
            exchange.setResponseContentLength(response.length());
        }
        response.transferTo(exchange, bytes -> 0, handler);
    }
}
