package org.redwingladder.request;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.redwingladder.routing.WorkClass;

/**
 * Holds a request as it arrived at a client or peer listener.
 *
 * @param exchange the exchange that carries it
 * @param requestId ties the answer to the request
 * @param service what the settings say about the service
 * @param method the method
 * @param path the path for the backend server with its query, as it was encoded
 * @param deadlineMillis when the client stops waiting, in epoch milliseconds
 * @param deadlineNanos the same instant on the monotonic clock
 * @param startByMillis the last instant at which the work may start, in epoch milliseconds
 * @param block the client block
 * @param hop how often the request was forwarded
 * @param fromZone the zone of the ingress
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
record InboundRequest(
        HttpServerExchange exchange,
        String requestId,
        ServiceSpec service,
        HttpString method,
        String path,
        long deadlineMillis,
        long deadlineNanos,
        long startByMillis,
        int block,
        int hop,
        String fromZone,
        byte[] body) {

    /** Returns whether the work may run twice. */
    boolean idempotent() {
        return io.undertow.util.Methods.GET.equals(method)
                || io.undertow.util.Methods.HEAD.equals(method);
    }

    /** Returns the class that the settings state; null if it has to be learned. */
    @Nullable WorkClass configuredClass() {
        return service.classOf(path);
    }

    /** Returns the first segment of the path, by which a class is learned. */
    String classKey() {
        int end = path.indexOf('/', 1);
        int query = path.indexOf('?');
        if (end < 0 || (query >= 0 && query < end)) {
            end = query < 0 ? path.length() : query;
        }
        return path.substring(0, Math.min(end, MAX_CLASS_KEY));
    }

    /** Paths come from outside; a longer key would let them fill the table of learned classes. */
    private static final int MAX_CLASS_KEY = 64;

    InboundRequest withBody(byte[] whole) {
        return new InboundRequest(
                exchange,
                requestId,
                service,
                method,
                path,
                deadlineMillis,
                deadlineNanos,
                startByMillis,
                block,
                hop,
                fromZone,
                whole);
    }

    InboundRequest withStartBy(long millis) {
        return new InboundRequest(
                exchange,
                requestId,
                service,
                method,
                path,
                deadlineMillis,
                deadlineNanos,
                Math.min(startByMillis, millis),
                block,
                hop,
                fromZone,
                body);
    }

    @Nullable String header(HttpString name) {
        return exchange.getRequestHeaders().getFirst(name);
    }
}
