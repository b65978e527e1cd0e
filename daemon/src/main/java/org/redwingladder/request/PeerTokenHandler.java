package org.redwingladder.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.redwingladder.api.RefusalReason;

/** Handles requests that other entry hosts forward because this host issued their token. */
final class PeerTokenHandler implements HttpHandler {
    private final RequestReader mReader;
    private final AtMostOnceRequests mAtMostOnce;
    private final InFlightCounter mInFlight;

    PeerTokenHandler(RequestReader reader, AtMostOnceRequests once, InFlightCounter inFlight) {
        mReader = reader;
        mAtMostOnce = once;
        mInFlight = inFlight;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(
                SameThreadExecutor.INSTANCE, () -> ExceptionMapper.run(exchange, this::handle));
    }

    private void handle(HttpServerExchange exchange, String requestId) throws RefusedException {
        InboundRequest head =
                mReader.readHead(exchange, requestId, PeerCall.ONCE_PATH_PREFIX, true);
        if (head.hop() > 1) {
            throw RefusedException.notRun(
                    RefusalReason.HOP_LIMIT,
                    "a request is forwarded to its token's issuer at most once");
        }
        mReader.readBody(
                head,
                this::start,
                refusal -> HttpResponses.writeRefusal(exchange, requestId, refusal));
    }

    private void start(InboundRequest request) {
        HttpResponseSink sink =
                new HttpResponseSink(
                        request.exchange(), request.requestId(), mInFlight.increment());
        ClientDisconnectDetector disconnects = ClientDisconnectDetector.start(request.exchange());
        try {
            mAtMostOnce.startForwarded(request, sink);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
            return;
        }
        disconnects.onDisconnect(sink::disconnected);
    }
}
