package org.redwingladder.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/** Serves requests that other entry hosts forward to the owner of a site. */
final class PeerDispatchHandler implements HttpHandler {
    /** One forward of an ingress, or one to a token's host and one to the site's owner. */
    private static final int MAX_HOPS = 2;

    private final PipelineContext mContext;
    private final RequestReader mReader;
    private final SiteOwnerRegistry mOwners;
    private final InFlightCounter mInFlight;

    PeerDispatchHandler(PipelineContext context, RequestReader reader, SiteOwnerRegistry owners, InFlightCounter inFlight) {
        mContext = context;
        mReader = reader;
        mOwners = owners;
        mInFlight = inFlight;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> ExceptionMapper.run(exchange, this::read));
    }

    private void read(HttpServerExchange exchange, String requestId) throws RefusedException {
        InboundRequest head = mReader.head(exchange, requestId, PeerCall.DISPATCH, true);
        if (head.hop() > MAX_HOPS) {
            throw RefusedException.notRun(
                    RefusalReason.HOP_LIMIT, "forwarded more than " + MAX_HOPS + " times");
        }
        mReader.body(
                head, request -> serve(request), refusal -> refuse(exchange, requestId, refusal));
    }

    private void serve(InboundRequest request) {
        HttpServerExchange exchange = request.exchange();
        HttpResponseSink sink = new HttpResponseSink(exchange, request.requestId(), mInFlight.enter());
        SiteOwner owner = mOwners.owner(request.service().name());
        if (owner == null) {
            sink.refused(
                    Refusal.notRun(RefusalReason.NOT_OWNER, 0, "this host does not own the site"));
            return;
        }
        RoutingTrace trace =
                mContext.traces().start(request.requestId(), request.service().name(), "owner");
        ClientDisconnectDetector watch = ClientDisconnectDetector.start(exchange);
        Runnable cancel = owner.offer(request, patience(exchange), sink, trace);
        watch.onDisconnect(
                () -> {
                    cancel.run();
                    sink.abandoned();
                });
    }

    private static long patience(HttpServerExchange exchange) {
        return PeerCall.nanos(exchange.getRequestHeaders(), WireHeaders.PATIENCE, Long.MAX_VALUE);
    }

    private static void refuse(HttpServerExchange exchange, String requestId, Refusal refusal) {
        HttpResponses.refusal(exchange, requestId, refusal);
    }
}
