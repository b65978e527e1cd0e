package org.redwingladder.request;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Reads requests from HTTP exchanges and validates their paths, headers and bodies. */
final class RequestReader {
    /** Larger bodies are refused, because retries require the body to be buffered in memory. */
    static final int MAX_BODY_BYTES = 1024 * 1024;

    private static final int MAX_ID_LENGTH = 128;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final ClusterView mView;
    private final TimeSource mTime;

    RequestReader(ClusterView view, TimeSource time) {
        mView = view;
        mTime = time;
    }

    /** Returns the request's id header; a random id if it is absent, empty or too long. */
    static String requestId(HttpServerExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst(WireHeaders.REQUEST_ID);
        if (id != null && !id.isEmpty() && id.length() <= MAX_ID_LENGTH) {
            return id;
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return new UUID(random.nextLong(), random.nextLong()).toString();
    }

    /**
     * Reads the path and headers of a request to a service.
     *
     * @param pathPrefix the path prefix that precedes the service's name
     * @param fromPeer whether an entry host forwarded the request; the headers that entry hosts set
     *     are ignored in requests of clients
     * @throws RefusedException if the service is unknown, a header is malformed or the deadline has
     *     passed
     */
    InboundRequest readHead(
            HttpServerExchange exchange, String requestId, String pathPrefix, boolean fromPeer)
            throws RefusedException {
        String uri = exchange.getRequestURI();
        int slash = uri.indexOf('/', pathPrefix.length());
        String name = uri.substring(pathPrefix.length(), slash < 0 ? uri.length() : slash);
        ServiceSpec service = mView.service(name);
        if (service == null) {
            throw RefusedException.notRun(
                    mView.settingsVersion() == 0
                            ? RefusalReason.NOT_READY
                            : RefusalReason.UNKNOWN_SERVICE,
                    "unknown service '" + name + "'");
        }
        String path = slash < 0 ? "/" : uri.substring(slash);
        String query = exchange.getQueryString();
        HeaderMap headers = exchange.getRequestHeaders();
        long deadline = deadline(headers, service);
        return new InboundRequest(
                exchange,
                requestId,
                service,
                exchange.getRequestMethod(),
                query.isEmpty() ? path : path + "?" + query,
                deadline,
                mTime.toNanos(deadline),
                fromPeer ? number(headers, WireHeaders.START_BY, Long.MAX_VALUE) : Long.MAX_VALUE,
                block(headers),
                fromPeer ? (int) Math.min(100, number(headers, WireHeaders.HOP, 0)) : 0,
                fromPeer ? fromZone(headers) : mView.self().zone(),
                EMPTY_BODY);
    }

    private String fromZone(HeaderMap headers) {
        String zone = headers.getFirst(WireHeaders.FROM_ZONE);
        return zone == null ? mView.self().zone() : zone;
    }

    private long deadline(HeaderMap headers, ServiceSpec service) throws RefusedException {
        long now = mTime.millis();
        long latest = now + service.maxRequestMillis();
        long deadline = number(headers, WireHeaders.DEADLINE, latest);
        if (deadline <= now) {
            throw RefusedException.notRun(
                    RefusalReason.DEADLINE_EXPIRED,
                    WireHeaders.DEADLINE + " passed " + (now - deadline) + " ms ago");
        }
        return Math.min(deadline, latest);
    }

    private int block(HeaderMap headers) throws RefusedException {
        long block = number(headers, WireHeaders.BLOCK, 0);
        if (block >= mView.blockCount()) {
            throw RefusedException.notRun(
                    RefusalReason.BAD_REQUEST,
                    WireHeaders.BLOCK
                            + " is "
                            + block
                            + "; allowed: 0 to "
                            + (mView.blockCount() - 1));
        }
        return (int) block;
    }

    private static long number(HeaderMap headers, HttpString name, long defaultValue)
            throws RefusedException {
        String text = headers.getFirst(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text.trim());
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Refused below, like a negative number.
        }
        throw RefusedException.notRun(
                RefusalReason.BAD_REQUEST, name + " is malformed; allowed: a whole number from 0");
    }

    /**
     * Reads the body and calls {@code next} with the complete request, in the exchange's I/O
     * thread. If the body is not complete by the request's deadline, the connection is closed: a
     * sender that never completes its body must not hold it forever.
     *
     * @param refused is called instead if the body is too large
     */
    void readBody(InboundRequest head, Consumer<InboundRequest> next, Consumer<Refusal> refused) {
        HttpServerExchange exchange = head.exchange();
        if (exchange.isRequestComplete()) {
            next.accept(head);
            return;
        }
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            refused.accept(tooLarge(exchange));
            return;
        }
        XnioExecutor.Key timeout =
                exchange.getIoThread()
                        .executeAfter(
                                () -> IoUtils.safeClose(exchange.getConnection()),
                                head.deadlineNanos() - mTime.nanos(),
                                TimeUnit.NANOSECONDS);
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(MAX_BODY_BYTES);
        // If the body arrives after the head, Undertow ends the exchange when the callback returns,
        // unless the callback has dispatched the remaining work.
        receiver.receiveFullBytes(
                (same, bytes) -> {
                    timeout.remove();
                    exchange.dispatch(
                            SameThreadExecutor.INSTANCE, () -> next.accept(head.withBody(bytes)));
                },
                (same, cause) -> {
                    timeout.remove();
                    if (cause instanceof Receiver.RequestToLargeException
                            || cause instanceof io.undertow.server.RequestTooBigException) {
                        exchange.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () -> refused.accept(tooLarge(exchange)));
                    } else {
                        IoUtils.safeClose(exchange.getConnection());
                    }
                });
    }

    /** Refuses a body. The rest of it is not read, so the connection cannot be reused. */
    private static Refusal tooLarge(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        return Refusal.notRun(
                RefusalReason.BODY_TOO_LARGE,
                0,
                "the body is too large; allowed: at most " + MAX_BODY_BYTES + " bytes");
    }

    /** Returns the first value of a query parameter; null if it is absent. */
    static @Nullable String parameter(HttpServerExchange exchange, String name) {
        var values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }
}
