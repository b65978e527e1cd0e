package org.redwingladder.request;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Locale;
import org.redwingladder.api.ErrorBody;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallException;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.http.ResponseHandler;
import org.redwingladder.http.StreamedResponse;

/** Forwards a request to another entry host and converts the result to a response or refusal. */
final class PeerCall implements ResponseHandler {
    static final String DISPATCH_PATH_PREFIX = "/peer/v1/dispatch/";
    static final String ONCE_PATH_PREFIX = "/peer/v1/once/";

    private static final long NANOS_PER_MICRO = 1000;

    private final String mPeer;
    private final ResponseSink mSink;

    private PeerCall(String peer, ResponseSink sink) {
        mPeer = peer;
        mSink = sink;
    }

    /**
     * Forwards a request to the owner of a site.
     *
     * @param hop how many entry hosts have forwarded the request, including this one
     * @param maxWaitNanos the longest acceptable queueing delay at the site; {@link Long#MAX_VALUE}
     *     for no bound
     * @return cancels the call
     */
    static Runnable forwardToOwner(
            PipelineContext context,
            InboundRequest inbound,
            ClusterView.Peer owner,
            int hop,
            long maxWaitNanos,
            ResponseSink sink) {
        return send(context, inbound, owner, DISPATCH_PATH_PREFIX, hop, maxWaitNanos, sink);
    }

    /** Forwards a request to the host that issued its token; the returned callback cancels it. */
    static Runnable forwardToTokenIssuer(
            PipelineContext context,
            InboundRequest inbound,
            ClusterView.Peer issuer,
            ResponseSink sink) {
        return send(context, inbound, issuer, ONCE_PATH_PREFIX, 1, Long.MAX_VALUE, sink);
    }

    private static Runnable send(
            PipelineContext context,
            InboundRequest inbound,
            ClusterView.Peer peer,
            String pathPrefix,
            int hop,
            long maxWaitNanos,
            ResponseSink sink) {
        CallRequest call =
                CallRequest.of(
                        inbound.method(),
                        peer.peerAddress(),
                        pathPrefix + inbound.service().name() + inbound.path(),
                        inbound.deadlineNanos());
        WireHeaders.copyEndToEnd(inbound.exchange().getRequestHeaders(), call.headers());
        call.requestId(inbound.requestId());
        call.header(WireHeaders.DEADLINE, Long.toString(inbound.deadlineMillis()));
        call.header(WireHeaders.HOP, Integer.toString(hop));
        call.header(WireHeaders.FROM_ZONE, context.view().self().zone());
        if (maxWaitNanos != Long.MAX_VALUE) {
            call.header(WireHeaders.PATIENCE, Long.toString(maxWaitNanos / NANOS_PER_MICRO));
        }
        if (inbound.startByMillis() != Long.MAX_VALUE) {
            call.header(WireHeaders.START_BY, Long.toString(inbound.startByMillis()));
        }
        if (inbound.body().length > 0) {
            call.body(inbound.body());
        }
        Call started = context.caller().send(call, new PeerCall(peer.host(), sink));
        return started::cancel;
    }

    /**
     * Returns the value of a header that is in microseconds, converted to nanoseconds; {@code
     * defaultNanos} if the header is absent or malformed.
     */
    static long nanos(HeaderMap headers, HttpString name, long defaultNanos) {
        String text = headers.getFirst(name);
        return text != null && text.matches("[0-9]{1,12}")
                ? Long.parseLong(text) * NANOS_PER_MICRO
                : defaultNanos;
    }

    private void reportExpectedWait(HeaderMap headers) {
        long wait = nanos(headers, WireHeaders.WAIT, -1);
        if (wait >= 0) {
            mSink.expectedWait(wait);
        }
    }

    @Override
    public void buffered(BufferedResponse answer) {
        reportExpectedWait(answer.headers());
        String backend = answer.headers().getFirst(WireHeaders.BACKEND);
        if (backend != null) {
            mSink.whole(answer, backend);
        } else {
            mSink.refused(refusal(answer));
        }
    }

    private Refusal refusal(BufferedResponse answer) {
        try {
            Refusal refusal = Json.read(answer.body(), ErrorBody.class).refusal();
            boolean notRun = "true".equals(answer.headers().getFirst(WireHeaders.NOT_RUN));
            return refusal.outcome() == Outcome.NOT_RUN && !notRun
                    ? Refusal.unknown(refusal.reason(), refusal.message())
                    : refusal;
        } catch (JsonException | RuntimeException e) {
            return Refusal.unknown(
                    RefusalReason.PEER_LOST,
                    String.format(
                            Locale.ROOT,
                            "entry host %s answered with status %d and a malformed error body",
                            mPeer,
                            answer.status()));
        }
    }

    @Override
    public void streamed(StreamedResponse answer) {
        HeaderMap headers = answer.headers();
        reportExpectedWait(headers);
        String backend = headers.getFirst(WireHeaders.BACKEND);
        StreamedResponse.TransferHandler handler = AtMostOnceRequests.ignoringHandler();
        if (backend == null) {
            answer.discard(handler);
            mSink.refused(
                    Refusal.unknown(
                            RefusalReason.PEER_LOST,
                            "entry host " + mPeer + " answered without naming a backend server"));
        } else {
            mSink.streamed(answer, backend, new ResponseSink.Transfer(bytes -> 0, handler));
        }
    }

    @Override
    public void failed(CallException cause) {
        String message = "entry host " + mPeer + ": " + cause.getMessage();
        mSink.refused(
                cause.neverSent()
                        ? Refusal.notRun(RefusalReason.PEER_LOST, 0, message)
                        : Refusal.unknown(RefusalReason.PEER_LOST, message));
    }
}
