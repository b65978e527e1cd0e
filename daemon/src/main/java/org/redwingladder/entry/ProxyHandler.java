package org.redwingladder.entry;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;
import org.redwingladder.request.ClientDisconnectDetector;
import org.redwingladder.steering.Route;
import org.redwingladder.steering.RouteTable;

/** Takes in the requests of clients and holds what all requests share. */
final class ProxyHandler implements HttpHandler {
    private static final byte[] EMPTY = new byte[0];

    /** One of this many answered requests is logged. */
    private static final int SAMPLED_EACH = 16;

    private static final long UNKNOWN_RETRY_MILLIS = 250;

    private final RequestRouter mRouter;
    private final WireFormat mWire;
    private final HttpCaller mCaller;
    private final EventLog mLog;
    private final EntryMetrics mMetrics;
    private final RequestRateMeter mDemand;
    private final Set<ProxiedRequest> mFlows = new HashSet<>();
    private BooleanSupplier mStopping = () -> false;
    private BooleanSupplier mRefusing = () -> false;
    private int mAnswers;

    /** Holds a request that was understood. */
    record RoutedRequest(
            Route route,
            String service,
            String path,
            WireFormat.ClientHeaders client,
            long arrivedNanos,
            long untilNanos) {}

    ProxyHandler(
            RequestRouter router,
            WireFormat wire,
            HttpCaller caller,
            EventLog log,
            EntryMetrics metrics,
            RequestRateMeter demand) {
        mRouter = router;
        mWire = wire;
        mCaller = caller;
        mLog = log;
        mMetrics = metrics;
        mDemand = demand;
    }

    /**
     * Sets how a planned stop shows.
     *
     * @param stopping whether connections should end with their answer
     * @param refusing whether new requests have no time left to be answered
     */
    void stopSigns(BooleanSupplier stopping, BooleanSupplier refusing) {
        mStopping = stopping;
        mRefusing = refusing;
    }

    RequestRouter router() {
        return mRouter;
    }

    WireFormat wire() {
        return mWire;
    }

    HttpCaller caller() {
        return mCaller;
    }

    EventLog log() {
        return mLog;
    }

    EntryMetrics metrics() {
        return mMetrics;
    }

    /** Returns whether this answer is one of those that are logged. */
    boolean sampled() {
        return mAnswers++ % SAMPLED_EACH == 0;
    }

    int open() {
        return mFlows.size();
    }

    void ended(ProxiedRequest flow) {
        mFlows.remove(flow);
    }

    /** Ends all requests that are still open. */
    void endAll() {
        new ArrayList<>(mFlows).forEach(ProxiedRequest::processEnds);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long now = System.nanoTime();
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> accept(exchange, now));
    }

    private void accept(HttpServerExchange exchange, long now) {
        mMetrics.count("request.received");
        if (mStopping.getAsBoolean()) {
            exchange.setPersistent(false);
        }
        WireFormat.ClientHeaders client = mWire.client(exchange.getRequestHeaders());
        RouteTable routes = mRouter.routes();
        if (routes == null || mRefusing.getAsBoolean()) {
            refuse(exchange, client, routes == null ? "no settings yet" : "the host stops");
            return;
        }
        String target = target(exchange);
        Route route = routes.match(exchange.getHostName(), path(target));
        if (route == null) {
            deny(exchange, client, 404, "no route for " + exchange.getHostName() + path(target));
            return;
        }
        if (client.requestId() == null) {
            deny(exchange, client, 400, "the request has no id");
            return;
        }
        long wait = route.timeoutMillis();
        if (client.waitMillis() >= 0) {
            wait = Math.min(wait, client.waitMillis());
        }
        RoutedRequest arrival =
                new RoutedRequest(
                        route,
                        mRouter.service(route),
                        target,
                        client,
                        now,
                        now + wait * 1_000_000L);
        mDemand.request(arrival.service());
        body(exchange, arrival);
    }

    private void body(HttpServerExchange exchange, RoutedRequest arrival) {
        if (exchange.isRequestComplete()) {
            start(exchange, arrival, EMPTY);
            return;
        }
        // A body that comes after the head is received in a call of its own, whose end would end
        // the exchange if the rest were not dispatched.
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, bytes) ->
                                exchange.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> start(exchange, arrival, bytes)),
                        (same, cause) -> {
                            mLog.event("request", "body-lost")
                                    .with("id", arrival.client().requestId())
                                    .with("cause", cause)
                                    .write();
                            exchange.setPersistent(false);
                            exchange.dispatch(
                                    SameThreadExecutor.INSTANCE,
                                    () -> respond(exchange, 413, "the body is too large\n"));
                        });
    }

    private void start(HttpServerExchange exchange, RoutedRequest arrival, byte[] body) {
        ProxiedRequest flow = new ProxiedRequest(this, exchange, arrival, body);
        mFlows.add(flow);
        ClientDisconnectDetector.start(exchange).onDisconnect(flow::clientGone);
        flow.start();
    }

    /** Returns path and query as the client encoded them. */
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

    private void refuse(
            HttpServerExchange exchange, WireFormat.ClientHeaders client, String reason) {
        mMetrics.count("request.refused.not-ready");
        mLog.event("request", "refused")
                .with("id", client.requestId())
                .with("reason", reason)
                .write();
        mWire.retryAfter(exchange.getResponseHeaders(), UNKNOWN_RETRY_MILLIS);
        respond(exchange, 503, "not run: " + reason + "\n");
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

    /** Answers a request in the name of this host. */
    void respond(HttpServerExchange exchange, int status, String text) {
        if (exchange.isResponseStarted()) {
            return;
        }
        Responses.text(exchange, status, text);
    }

    /** Hands on a backend server's answer. */
    void deliver(HttpServerExchange exchange, WholeAnswer answer) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(answer.status());
        mWire.toClient(answer.headers(), exchange.getResponseHeaders());
        if (Methods.HEAD.equals(exchange.getRequestMethod()) || answer.body().length == 0) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
            exchange.endExchange();
        } else {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, answer.body().length);
            exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
        }
    }

    /** Hands on a large answer as it arrives. */
    void deliver(
            HttpServerExchange exchange,
            StreamedAnswer answer,
            StreamedAnswer.TransferHandler handler) {
        exchange.setStatusCode(answer.status());
        mWire.toClient(answer.headers(), exchange.getResponseHeaders());
        if (answer.length() >= 0) {
            exchange.setResponseContentLength(answer.length());
        }
        answer.transferTo(exchange, bytes -> 0, handler);
    }
}
