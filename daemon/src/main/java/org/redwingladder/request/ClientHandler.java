package org.redwingladder.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.redwingladder.api.RefusalReason;

/** Serves clients: look-ups and requests for services. */
final class ClientHandler implements HttpHandler {
    private static final String SERVICES = "/v1/services/";
    private static final String LOOKUP = "/v1/lookup";

    private final RequestParts mParts;
    private final RequestReader mReader;
    private final Ingress mIngress;
    private final LookupHandler mLookup;
    private final OnceRequests mOnce;
    private final InFlight mInFlight;

    ClientHandler(
            RequestParts parts,
            RequestReader reader,
            Ingress ingress,
            LookupHandler lookup,
            OnceRequests once,
            InFlight inFlight) {
        mParts = parts;
        mReader = reader;
        mIngress = ingress;
        mLookup = lookup;
        mOnce = once;
        mInFlight = inFlight;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> Guard.run(exchange, this::route));
    }

    private void route(HttpServerExchange exchange, String requestId) throws RefusedException {
        String uri = exchange.getRequestURI();
        if (uri.startsWith(SERVICES)) {
            serve(exchange, requestId);
        } else if (uri.equals(LOOKUP)) {
            mLookup.handle(exchange);
        } else {
            throw RefusedException.notRun(
                    RefusalReason.BAD_REQUEST,
                    "unknown path; allowed: " + LOOKUP + " and " + SERVICES + "SERVICE/PATH");
        }
    }

    private void serve(HttpServerExchange exchange, String requestId) throws RefusedException {
        mParts.metrics().request();
        long startedNanos = mParts.time().nanos();
        ClientSink sink = new ClientSink(mParts, exchange, requestId, startedNanos, mInFlight);
        try {
            ClusterView.Readiness readiness = mParts.view().readiness();
            if (readiness.state() == ClusterView.Readiness.State.NOT_READY) {
                throw RefusedException.notRun(RefusalReason.NOT_READY, readiness.reason());
            }
            InboundRequest head = mReader.head(exchange, requestId, SERVICES, false);
            mReader.body(head, request -> start(request, sink), sink::refused);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
        }
    }

    private void start(InboundRequest request, ClientSink sink) {
        sink.request(request);
        ClientDisconnectDetector watch = ClientDisconnectDetector.start(request.exchange());
        Runnable cancel;
        try {
            cancel =
                    mOnce.applies(request)
                            ? mOnce.start(request, sink)
                            : mIngress.start(request, sink, 0);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
            return;
        }
        watch.onDisconnect(
                () -> {
                    mParts.metrics().clientGone();
                    cancel.run();
                    sink.abandoned();
                });
    }
}
