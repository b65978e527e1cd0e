package org.redwingladder.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.redwingladder.api.RefusalReason;

/** Serves requests that other entry hosts forward to the host of their token. */
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
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> ExceptionMapper.run(exchange, this::read));
    }

    private void read(HttpServerExchange exchange, String requestId) throws RefusedException {
        InboundRequest head = mReader.head(exchange, requestId, PeerCall.ONCE, true);
        if (head.hop() > 1) {
            throw RefusedException.notRun(
                    RefusalReason.HOP_LIMIT, "a request goes to its token's host at most once");
        }
        mReader.body(head, this::serve, refusal -> HttpResponses.refusal(exchange, requestId, refusal));
    }

    private void serve(InboundRequest request) {
        HttpResponseSink sink = new HttpResponseSink(request.exchange(), request.requestId(), mInFlight.enter());
        ClientDisconnectDetector watch = ClientDisconnectDetector.start(request.exchange());
        try {
            mAtMostOnce.startForwarded(request, sink);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
            return;
        }
        watch.onDisconnect(sink::abandoned);
    }
}
