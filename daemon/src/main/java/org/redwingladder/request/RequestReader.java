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

/** Reads requests from exchanges and checks what they state. */
final class RequestReader {
    /** Longer bodies are refused, because a retry has to repeat a body from memory. */
    static final int MAX_BODY_BYTES = 1024 * 1024;

    private static final int MAX_ID_LENGTH = 128;
    private static final byte[] EMPTY = new byte[0];

    private final ClusterView mView;
    private final TimeSource mTime;

    RequestReader(ClusterView view, TimeSource time) {
        mView = view;
        mTime = time;
    }

    /** Returns the id that the request carries, or a new one if it carries none that is usable. */
    static String requestId(HttpServerExchange exchange) {
        String id = exchange.getRequestHeaders().getFirst(WireHeaders.REQUEST_ID);
        if (id != null && !id.isEmpty() && id.length() <= MAX_ID_LENGTH) {
            return id;
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return new UUID(random.nextLong(), random.nextLong()).toString();
    }

    /**
     * Reads the head of a request for a service.
     *
     * @param prefix what the path starts with before the service's name
     * @param fromPeer whether an entry host forwarded the request
     */
    InboundRequest head(
            HttpServerExchange exchange, String requestId, String prefix, boolean fromPeer)
            throws RefusedException {
        String uri = exchange.getRequestURI();
        int slash = uri.indexOf('/', prefix.length());
        String name = uri.substring(prefix.length(), slash < 0 ? uri.length() : slash);
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
                EMPTY);
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

    private static long number(HeaderMap headers, HttpString name, long absent)
            throws RefusedException {
        String text = headers.getFirst(name);
        if (text == null) {
            return absent;
        }
        try {
            long value = Long.parseLong(text.trim());
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Refused below, as a negative number is.
        }
        throw RefusedException.notRun(
                RefusalReason.BAD_REQUEST, name + " is malformed; allowed: a number from 0");
    }

    /**
     * Reads the body and calls {@code next} with the request, in the exchange's I/O thread. A body
     * that is not complete by the deadline ends the connection, since its sender may never stop.
     */
    void body(InboundRequest head, Consumer<InboundRequest> next, Consumer<Refusal> refused) {
        HttpServerExchange exchange = head.exchange();
        if (exchange.isRequestComplete()) {
            next.accept(head);
            return;
        }
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            refused.accept(tooLarge(exchange));
            return;
        }
        XnioExecutor.Key timer =
                exchange.getIoThread()
                        .executeAfter(
                                () -> IoUtils.safeClose(exchange.getConnection()),
                                head.deadlineNanos() - mTime.nanos(),
                                TimeUnit.NANOSECONDS);
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(MAX_BODY_BYTES);
        // A body that comes after the head is received in a call of its own, whose end would end
        // the exchange if the rest were not dispatched.
        receiver.receiveFullBytes(
                (same, bytes) -> {
                    timer.remove();
                    exchange.dispatch(
                            SameThreadExecutor.INSTANCE, () -> next.accept(head.withBody(bytes)));
                },
                (same, cause) -> {
                    timer.remove();
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

    /** Refuses a body; the rest of it is not read, so that the connection has to end. */
    private static Refusal tooLarge(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        return Refusal.notRun(
                RefusalReason.BODY_TOO_LARGE,
                0,
                "the body is longer than " + MAX_BODY_BYTES + " bytes");
    }

    /** Returns the value of a query parameter; null if it is absent. */
    static @Nullable String parameter(HttpServerExchange exchange, String name) {
        var values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }
}
