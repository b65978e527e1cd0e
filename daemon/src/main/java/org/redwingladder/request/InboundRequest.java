package org.redwingladder.request;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.redwingladder.routing.WorkClass;

/**
 * A request received on the client or the peer listener.
 *
 * @param exchange the HTTP exchange
 * @param requestId the id that correlates the response with the request on every hop
 * @param service the service's settings
 * @param method the HTTP method
 * @param path the path and query for the backend server, still encoded
 * @param deadlineMillis the client's deadline, in epoch milliseconds
 * @param deadlineNanos the client's deadline on the monotonic clock
 * @param startByMillis the latest time at which the work may start, in epoch milliseconds
 * @param block the client block
 * @param hop how many entry hosts have forwarded the request
 * @param fromZone the zone of the entry host that forwarded the request, or of this one
 * @param body the complete body
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

    /** Returns whether the request may be sent more than once. */
    boolean idempotent() {
        return io.undertow.util.Methods.GET.equals(method)
                || io.undertow.util.Methods.HEAD.equals(method);
    }

    /** Returns the work class configured for the path; null if it has to be learned. */
    @Nullable WorkClass configuredClass() {
        return service.classOf(path);
    }

    /** Returns the key under which the work class is learned: the path's first segment. */
    String classKey() {
        int end = path.indexOf('/', 1);
        int query = path.indexOf('?');
        if (end < 0 || (query >= 0 && query < end)) {
            end = query < 0 ? path.length() : query;
        }
        return path.substring(0, Math.min(end, MAX_CLASS_KEY_LENGTH));
    }

    /** Paths are untrusted input: longer keys could exhaust the memory for learned classes. */
    private static final int MAX_CLASS_KEY_LENGTH = 64;

    InboundRequest withBody(byte[] completeBody) {
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
                completeBody);
    }

    /** Returns the request with a latest start time of {@code millis}, unless it is earlier. */
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
