package org.redwingladder.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.redwingladder.api.RefusalReason;

/** Serves clients: look-ups and requests for services. */
final class ClientHandler implements HttpHandler {
    private static final String SERVICES = "/v1/services/";
    private static final String LOOKUP = "/v1/lookup";

    private final PipelineContext mContext;
    private final RequestReader mReader;
    private final Ingress mIngress;
    private final LookupHandler mLookup;
    private final AtMostOnceRequests mAtMostOnce;
    private final InFlightCounter mInFlight;

    ClientHandler(
            PipelineContext context,
            RequestReader reader,
            Ingress ingress,
            LookupHandler lookup,
            AtMostOnceRequests once,
            InFlightCounter inFlight) {
        mContext = context;
        mReader = reader;
        mIngress = ingress;
        mLookup = lookup;
        mAtMostOnce = once;
        mInFlight = inFlight;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> ExceptionMapper.run(exchange, this::route));
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
        mContext.metrics().request();
        long startedNanos = mContext.time().nanos();
        MeteredResponseSink sink = new MeteredResponseSink(mContext, exchange, requestId, startedNanos, mInFlight);
        try {
            ClusterView.Readiness readiness = mContext.view().readiness();
            if (readiness.state() == ClusterView.Readiness.State.NOT_READY) {
                throw RefusedException.notRun(RefusalReason.NOT_READY, readiness.reason());
            }
            InboundRequest head = mReader.head(exchange, requestId, SERVICES, false);
            mReader.body(head, request -> start(request, sink), sink::refused);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
        }
    }

    private void start(InboundRequest request, MeteredResponseSink sink) {
        sink.request(request);
        ClientDisconnectDetector watch = ClientDisconnectDetector.start(request.exchange());
        Runnable cancel;
        try {
            cancel =
                    mAtMostOnce.applies(request)
                            ? mAtMostOnce.start(request, sink)
                            : mIngress.start(request, sink, 0);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
            return;
        }
        watch.onDisconnect(
                () -> {
                    mContext.metrics().clientGone();
                    cancel.run();
                    sink.abandoned();
                });
    }
}
