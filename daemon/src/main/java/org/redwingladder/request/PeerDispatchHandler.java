package org.redwingladder.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;

/** Handles requests that other entry hosts forward to this host as the owner of a site. */
final class PeerDispatchHandler implements HttpHandler {
    /** At most one hop to the host that issued the token and one to the site owner. */
    private static final int MAX_HOPS = 2;

    private final PipelineContext mContext;
    private final RequestReader mReader;
    private final SiteOwnerRegistry mOwners;
    private final InFlightCounter mInFlight;

    PeerDispatchHandler(
            PipelineContext context,
            RequestReader reader,
            SiteOwnerRegistry owners,
            InFlightCounter inFlight) {
        mContext = context;
        mReader = reader;
        mOwners = owners;
        mInFlight = inFlight;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> ExceptionMapper.run(exchange, this::handle));
    }

    private void handle(HttpServerExchange exchange, String requestId) throws RefusedException {
        InboundRequest head =
                mReader.readHead(exchange, requestId, PeerCall.DISPATCH_PATH_PREFIX, true);
        if (head.hop() > MAX_HOPS) {
            throw RefusedException.notRun(
                    RefusalReason.HOP_LIMIT, "forwarded more than " + MAX_HOPS + " times");
        }
        mReader.readBody(
                head,
                request -> dispatch(request),
                refusal -> refuse(exchange, requestId, refusal));
    }

    private void dispatch(InboundRequest request) {
        HttpServerExchange exchange = request.exchange();
        HttpResponseSink sink =
                new HttpResponseSink(exchange, request.requestId(), mInFlight.increment());
        SiteOwner owner = mOwners.owner(request.service().name());
        if (owner == null) {
            sink.refused(
                    Refusal.notRun(RefusalReason.NOT_OWNER, 0, "this host does not own the site"));
            return;
        }
        RoutingTrace trace =
                mContext.traces().start(request.requestId(), request.service().name(), "owner");
        ClientDisconnectDetector disconnects = ClientDisconnectDetector.start(exchange);
        Runnable cancel = owner.submit(request, maxWaitNanos(exchange), sink, trace);
        disconnects.onDisconnect(
                () -> {
                    cancel.run();
                    sink.disconnected();
                });
    }

    private static long maxWaitNanos(HttpServerExchange exchange) {
        return PeerCall.nanos(exchange.getRequestHeaders(), WireHeaders.PATIENCE, Long.MAX_VALUE);
    }

    private static void refuse(HttpServerExchange exchange, String requestId, Refusal refusal) {
        HttpResponses.writeRefusal(exchange, requestId, refusal);
    }
}
