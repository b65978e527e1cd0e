package org.redwingladder.request;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallException;
import org.redwingladder.http.StreamedResponse;

/** Writes the response to a client and records it in the metrics. */
final class MeteredResponseSink implements ResponseSink {
    private final PipelineContext mContext;
    private final long mStartedNanos;
    private final HttpResponseSink mResponse;
    private @Nullable InboundRequest mRequest;

    MeteredResponseSink(
            PipelineContext context,
            HttpServerExchange exchange,
            String requestId,
            long startedNanos,
            InFlightCounter inFlight) {
        mContext = context;
        mStartedNanos = startedNanos;
        mResponse = new HttpResponseSink(exchange, requestId, inFlight.increment());
    }

    /** Sets the request, by whose service and class the latency is recorded. */
    void request(InboundRequest request) {
        mRequest = request;
    }

    @Override
    public void whole(BufferedResponse answer, String backend) {
        recordCompletion();
        mResponse.whole(answer, backend);
    }

    @Override
    public void streamed(StreamedResponse answer, String backend, Transfer transfer) {
        StreamedResponse.TransferHandler handler = transfer.handler();
        StreamedResponse.TransferHandler metered =
                new StreamedResponse.TransferHandler() {
                    @Override
                    public void transferred(long bytes) {
                        recordCompletion();
                        handler.transferred(bytes);
                    }

                    @Override
                    public void failed(CallException cause) {
                        mContext.metrics().responseTruncated();
                        handler.failed(cause);
                    }
                };
        mResponse.streamed(answer, backend, new Transfer(transfer.pacer(), metered));
    }

    @Override
    public void refused(Refusal refusal) {
        mContext.metrics().refusal(refusal.reason());
        mResponse.refused(refusal);
    }

    /** Ends the request without a response, because the client has disconnected. */
    void disconnected() {
        mResponse.disconnected();
    }

    private void recordCompletion() {
        InboundRequest request = mRequest;
        if (request != null) {
            mContext.metrics()
                    .responseCompleted(
                            request.service().name(),
                            request.configuredClass(),
                            mContext.time().nanos() - mStartedNanos);
        }
    }
}
