package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.RequestBody;
import org.redwingladder.steering.Backend;

/** Builds the HTTP requests of the attempts of one client request. */
final class ServerRequestBuilder {
    /** A connection within a region opens in milliseconds, across regions within 100 ms. */
    private static final long CONNECT_TIMEOUT_NANOS = 300_000_000L;

    /** Network time of a response that was ready at the deadline. */
    private static final long RESPONSE_SLACK_NANOS = 80_000_000L;

    /** Responses up to this size are buffered and validated before the first byte is forwarded. */
    private static final int MAX_BUFFERED_BYTES = 4 << 20;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ProxyHandler mHandler;
    private final HttpServerExchange mExchange;
    private final ProxyHandler.RoutedRequest mRequest;
    private final RequestBody mBody;

    ServerRequestBuilder(
            ProxyHandler handler,
            HttpServerExchange exchange,
            ProxyHandler.RoutedRequest request,
            RequestBody body) {
        mHandler = handler;
        mExchange = exchange;
        mRequest = request;
        mBody = body;
    }

    /** Builds the request to one server, with the time that is left at {@code sentNanos}. */
    CallRequest build(Backend backend, long sentNanos) {
        CallRequest request =
                CallRequest.of(
                                mExchange.getRequestMethod(),
                                Addresses.parse(backend.registration().address()),
                                mRequest.path(),
                                mRequest.deadlineNanos() + RESPONSE_SLACK_NANOS)
                        .connectDeadlineNanos(sentNanos + CONNECT_TIMEOUT_NANOS)
                        .sendCondition(() -> mHandler.router().maySend(backend))
                        .allowCloseDelimitedBody()
                        .maxIdleNanos(mHandler.router().maxIdleNanos(mRequest.service()))
                        .maxBufferedBytes(MAX_BUFFERED_BYTES)
                        .bodyBudget(mHandler.clientBodies());
        long left = Math.max(1, (mRequest.deadlineNanos() - sentNanos) / NANOS_PER_MILLI);
        mHandler.wire()
                .writeServerHeaders(
                        mExchange.getRequestHeaders(),
                        request.headers(),
                        backend.registration().id(),
                        left);
        if (mBody.length() != 0 || mExchange.getRequestHeaders().contains("Content-Length")) {
            request.body(mBody);
        }
        String id = mRequest.client().requestId();
        if (id != null) {
            request.requestId(mHandler.wire().requestIdHeader(), id);
        }
        return request;
    }
}
