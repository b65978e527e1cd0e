package org.redwingladder.request;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallException;
import org.redwingladder.http.StreamedResponse;

/** Writes the final response of a request to its HTTP exchange. */
final class HttpResponseSink implements ResponseSink {
    private final HttpServerExchange mExchange;
    private final String mRequestId;
    private final Runnable mOnCompletion;
    private volatile boolean mDisconnected;

    /**
     * Creates a sink.
     *
     * @param onCompletion runs when the response is known or, if it is streamed, when its transfer
     *     ends; may run more than once
     */
    HttpResponseSink(HttpServerExchange exchange, String requestId, Runnable onCompletion) {
        mExchange = exchange;
        mRequestId = requestId;
        mOnCompletion = onCompletion;
    }

    @Override
    public void expectedWait(long nanos) {
        if (!mDisconnected) {
            mExchange
                    .getResponseHeaders()
                    .put(WireHeaders.WAIT, Long.toString(TimeUnit.NANOSECONDS.toMicros(nanos)));
        }
    }

    @Override
    public void whole(BufferedResponse answer, String backend) {
        mOnCompletion.run();
        if (mDisconnected) {
            return;
        }
        HttpResponses.writeWhole(mExchange, mRequestId, answer, backend);
    }

    @Override
    public void streamed(StreamedResponse answer, String backend, Transfer transfer) {
        StreamedResponse.TransferHandler handler = transfer.handler();
        if (mDisconnected) {
            mOnCompletion.run();
            answer.discard(handler);
            return;
        }
        StreamedResponse.TransferHandler both =
                new StreamedResponse.TransferHandler() {
                    @Override
                    public void transferred(long bytes) {
                        mOnCompletion.run();
                        handler.transferred(bytes);
                    }

                    @Override
                    public void failed(CallException cause) {
                        mOnCompletion.run();
                        handler.failed(cause);
                    }
                };
        HttpResponses.writeStreamed(
                mExchange, mRequestId, answer, backend, new Transfer(transfer.pacer(), both));
    }

    @Override
    public void refused(Refusal refusal) {
        mOnCompletion.run();
        if (mDisconnected) {
            return;
        }
        HttpResponses.writeRefusal(mExchange, mRequestId, refusal);
    }

    /** Completes the request without a response, because its client has disconnected. */
    void disconnected() {
        mDisconnected = true;
        mOnCompletion.run();
    }
}
