package org.redwingladder.request;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.CallException;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;

/** Writes the final answer to a client and counts it. */
final class MeteredResponseSink implements ResponseSink {
    private final PipelineContext mContext;
    private final long mStartedNanos;
    private final HttpResponseSink mReply;
    private @Nullable InboundRequest mRequest;

    MeteredResponseSink(
            PipelineContext context,
            HttpServerExchange exchange,
            String requestId,
            long startedNanos,
            InFlightCounter inFlight) {
        mContext = context;
        mStartedNanos = startedNanos;
        mReply = new HttpResponseSink(exchange, requestId, inFlight.enter());
    }

    /** Sets the request once it was read. */
    void request(InboundRequest request) {
        mRequest = request;
    }

    @Override
    public void whole(WholeAnswer answer, String backend) {
        countAnswer();
        mReply.whole(answer, backend);
    }

    @Override
    public void streamed(StreamedAnswer answer, String backend, Transfer transfer) {
        StreamedAnswer.TransferHandler handler = transfer.handler();
        StreamedAnswer.TransferHandler counting =
                new StreamedAnswer.TransferHandler() {
                    @Override
                    public void transferred(long bytes) {
                        countAnswer();
                        handler.transferred(bytes);
                    }

                    @Override
                    public void failed(CallException cause) {
                        mContext.metrics().cutOff();
                        handler.failed(cause);
                    }
                };
        mReply.streamed(answer, backend, new Transfer(transfer.pacer(), counting));
    }

    @Override
    public void refused(Refusal refusal) {
        mContext.metrics().refusal(refusal.reason());
        mReply.refused(refusal);
    }

    void abandoned() {
        mReply.abandoned();
    }

    private void countAnswer() {
        InboundRequest request = mRequest;
        if (request != null) {
            mContext.metrics()
                    .answer(
                            request.service().name(),
                            request.configuredClass(),
                            mContext.time().nanos() - mStartedNanos);
        }
    }
}
