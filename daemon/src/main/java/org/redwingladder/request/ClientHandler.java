package org.redwingladder.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.redwingladder.api.RefusalReason;

/** Routes requests on the client listener: look-ups and requests to services. */
final class ClientHandler implements HttpHandler {
    private static final String SERVICES_PATH_PREFIX = "/v1/services/";
    private static final String LOOKUP_PATH = "/v1/lookup";

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
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> ExceptionMapper.run(exchange, this::route));
    }

    private void route(HttpServerExchange exchange, String requestId) throws RefusedException {
        String uri = exchange.getRequestURI();
        if (uri.startsWith(SERVICES_PATH_PREFIX)) {
            handleServiceRequest(exchange, requestId);
        } else if (uri.equals(LOOKUP_PATH)) {
            mLookup.handle(exchange);
        } else {
            throw RefusedException.notRun(
                    RefusalReason.BAD_REQUEST,
                    "unknown path; allowed: "
                            + LOOKUP_PATH
                            + " and "
                            + SERVICES_PATH_PREFIX
                            + "SERVICE/PATH");
        }
    }

    private void handleServiceRequest(HttpServerExchange exchange, String requestId)
            throws RefusedException {
        mContext.metrics().request();
        long startedNanos = mContext.time().nanos();
        MeteredResponseSink sink =
                new MeteredResponseSink(mContext, exchange, requestId, startedNanos, mInFlight);
        try {
            ClusterView.Readiness readiness = mContext.view().readiness();
            if (readiness.state() == ClusterView.Readiness.State.NOT_READY) {
                throw RefusedException.notRun(RefusalReason.NOT_READY, readiness.reason());
            }
            InboundRequest head =
                    mReader.readHead(exchange, requestId, SERVICES_PATH_PREFIX, false);
            mReader.readBody(head, request -> start(request, sink), sink::refused);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
        }
    }

    private void start(InboundRequest request, MeteredResponseSink sink) {
        sink.request(request);
        ClientDisconnectDetector disconnects = ClientDisconnectDetector.start(request.exchange());
        Runnable cancel;
        try {
            cancel =
                    mAtMostOnce.appliesTo(request)
                            ? mAtMostOnce.start(request, sink)
                            : mIngress.start(request, sink, 0);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
            return;
        }
        disconnects.onDisconnect(
                () -> {
                    mContext.metrics().clientDisconnected();
                    cancel.run();
                    sink.disconnected();
                });
    }
}
