package org.redwingladder.request;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.CallException;
import org.redwingladder.http.StreamedAnswer;
import org.redwingladder.http.WholeAnswer;

/** Writes the final answer of a request to its exchange. */
final class HttpResponseSink implements ResponseSink {
    private final HttpServerExchange mExchange;
    private final String mRequestId;
    private final Runnable mEnded;
    private volatile boolean mAbandoned;

    /**
     * Creates a sink.
     *
     * @param ended runs once, when the answer is decided or, if it is long, when it was handed on
     */
    HttpResponseSink(HttpServerExchange exchange, String requestId, Runnable ended) {
        mExchange = exchange;
        mRequestId = requestId;
        mEnded = ended;
    }

    @Override
    public void expectedWait(long nanos) {
        if (!mAbandoned) {
            mExchange
                    .getResponseHeaders()
                    .put(WireHeaders.WAIT, Long.toString(TimeUnit.NANOSECONDS.toMicros(nanos)));
        }
    }

    @Override
    public void whole(WholeAnswer answer, String backend) {
        mEnded.run();
        if (mAbandoned) {
            return;
        }
        HttpResponses.whole(mExchange, mRequestId, answer, backend);
    }

    @Override
    public void streamed(StreamedAnswer answer, String backend, Transfer transfer) {
        StreamedAnswer.TransferHandler handler = transfer.handler();
        if (mAbandoned) {
            mEnded.run();
            answer.discard(handler);
            return;
        }
        StreamedAnswer.TransferHandler both =
                new StreamedAnswer.TransferHandler() {
                    @Override
                    public void transferred(long bytes) {
                        mEnded.run();
                        handler.transferred(bytes);
                    }

                    @Override
                    public void failed(CallException cause) {
                        mEnded.run();
                        handler.failed(cause);
                    }
                };
        HttpResponses.streamed(
                mExchange, mRequestId, answer, backend, new Transfer(transfer.pacer(), both));
    }

    @Override
    public void refused(Refusal refusal) {
        mEnded.run();
        if (mAbandoned) {
            return;
        }
        HttpResponses.refusal(mExchange, mRequestId, refusal);
    }

    /** Ends the request without an answer, because nobody is left to receive one. */
    void abandoned() {
        mAbandoned = true;
        mEnded.run();
    }
}
