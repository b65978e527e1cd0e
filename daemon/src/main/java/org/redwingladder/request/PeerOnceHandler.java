package org.redwingladder.request;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.redwingladder.api.RefusalReason;

/** Serves requests that other entry hosts forward to the host of their token. */
final class PeerOnceHandler implements HttpHandler {
    private final RequestReader mReader;
    private final OnceRequests mOnce;
    private final InFlight mInFlight;

    PeerOnceHandler(RequestReader reader, OnceRequests once, InFlight inFlight) {
        mReader = reader;
        mOnce = once;
        mInFlight = inFlight;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> Guard.run(exchange, this::read));
    }

    private void read(HttpServerExchange exchange, String requestId) throws RefusedException {
        InboundRequest head = mReader.head(exchange, requestId, PeerCall.ONCE, true);
        if (head.hop() > 1) {
            throw RefusedException.notRun(
                    RefusalReason.HOP_LIMIT, "a request goes to its token's host at most once");
        }
        mReader.body(head, this::serve, refusal -> Replies.refusal(exchange, requestId, refusal));
    }

    private void serve(InboundRequest request) {
        ReplySink sink = new ReplySink(request.exchange(), request.requestId(), mInFlight.enter());
        ClientDisconnectDetector watch = ClientDisconnectDetector.start(request.exchange());
        try {
            mOnce.startForwarded(request, sink);
        } catch (RefusedException e) {
            sink.refused(e.refusal());
            return;
        }
        watch.onDisconnect(sink::abandoned);
    }
}
