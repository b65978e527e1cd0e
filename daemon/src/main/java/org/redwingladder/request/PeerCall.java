package org.redwingladder.request;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Locale;
import org.redwingladder.api.ErrorBody;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.AnswerHandler;
import org.redwingladder.http.Call;
import org.redwingladder.http.CallException;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;

/** Forwards a request to another entry host and turns what comes back into an answer. */
final class PeerCall implements AnswerHandler {
    static final String DISPATCH = "/peer/v1/dispatch/";
    static final String ONCE = "/peer/v1/once/";

    private static final long NANOS_PER_MICRO = 1000;

    private final String mPeer;
    private final ResponseSink mSink;

    private PeerCall(String peer, ResponseSink sink) {
        mPeer = peer;
        mSink = sink;
    }

    /** Sends a request to a site's owner; the returned step gives it up. */
    static Runnable dispatch(
            PipelineContext context,
            InboundRequest inbound,
            ClusterView.Peer owner,
            int hop,
            long maxWaitNanos,
            ResponseSink sink) {
        return send(context, inbound, owner, DISPATCH, hop, maxWaitNanos, sink);
    }

    /** Sends a request to its token's host; the returned step gives it up. */
    static Runnable once(
            PipelineContext context, InboundRequest inbound, ClusterView.Peer host, ResponseSink sink) {
        return send(context, inbound, host, ONCE, 1, Long.MAX_VALUE, sink);
    }

    private static Runnable send(
            PipelineContext context,
            InboundRequest inbound,
            ClusterView.Peer peer,
            String prefix,
            int hop,
            long maxWaitNanos,
            ResponseSink sink) {
        CallRequest call =
                CallRequest.of(
                        inbound.method(),
                        peer.peerAddress(),
                        prefix + inbound.service().name() + inbound.path(),
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
        Call running = context.caller().send(call, new PeerCall(peer.host(), sink));
        return running::cancel;
    }

    /** Returns the nanoseconds that a header states in microseconds, or {@code absent}. */
    static long nanos(HeaderMap headers, HttpString name, long absent) {
        String text = headers.getFirst(name);
        return text != null && text.matches("[0-9]{1,12}")
                ? Long.parseLong(text) * NANOS_PER_MICRO
                : absent;
    }

    private void reportExpectedWait(HeaderMap headers) {
        long wait = nanos(headers, WireHeaders.WAIT, -1);
        if (wait >= 0) {
            mSink.expectedWait(wait);
        }
    }

    @Override
    public void whole(WholeAnswer answer) {
        reportExpectedWait(answer.headers());
        String backend = answer.headers().getFirst(WireHeaders.BACKEND);
        if (backend != null) {
            mSink.whole(answer, backend);
        } else {
            mSink.refused(refusal(answer));
        }
    }

    private Refusal refusal(WholeAnswer answer) {
        try {
            Refusal refusal = Json.read(answer.body(), ErrorBody.class).refusal();
            boolean certain = "true".equals(answer.headers().getFirst(WireHeaders.NOT_RUN));
            return refusal.outcome() == Outcome.NOT_RUN && !certain
                    ? Refusal.unknown(refusal.reason(), refusal.message())
                    : refusal;
        } catch (JsonException | RuntimeException e) {
            return Refusal.unknown(
                    RefusalReason.PEER_LOST,
                    String.format(
                            Locale.ROOT,
                            "entry host %s gave status %d without a reason",
                            mPeer,
                            answer.status()));
        }
    }

    @Override
    public void streamed(StreamedAnswer answer) {
        HeaderMap headers = answer.headers();
        reportExpectedWait(headers);
        String backend = headers.getFirst(WireHeaders.BACKEND);
        StreamedAnswer.TransferHandler handler = AtMostOnceRequests.ignoring();
        if (backend == null) {
            answer.discard(handler);
            mSink.refused(
                    Refusal.unknown(
                            RefusalReason.PEER_LOST,
                            "entry host " + mPeer + " gave an answer without a backend server"));
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
