package org.redwingladder.request;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/**
 * The HTTP headers of the system as Undertow header names, and the copying of end-to-end headers.
 */
final class WireHeaders {
    static final HttpString REQUEST_ID = of(org.redwingladder.api.Headers.REQUEST_ID);
    static final HttpString DEADLINE = of(org.redwingladder.api.Headers.DEADLINE);
    static final HttpString START_BY = of(org.redwingladder.api.Headers.START_BY);
    static final HttpString BLOCK = of(org.redwingladder.api.Headers.BLOCK);
    static final HttpString TOKEN = of(org.redwingladder.api.Headers.TOKEN);
    static final HttpString IDEMPOTENCY_KEY = of(org.redwingladder.api.Headers.IDEMPOTENCY_KEY);
    static final HttpString HOP = of(org.redwingladder.api.Headers.HOP);
    static final HttpString FROM_ZONE = of(org.redwingladder.api.Headers.FROM_ZONE);
    static final HttpString BACKEND = of(org.redwingladder.api.Headers.BACKEND);
    static final HttpString LOAD = of(org.redwingladder.api.Headers.LOAD);
    static final HttpString STATE = of(org.redwingladder.api.Headers.STATE);
    static final HttpString WAIT = of(org.redwingladder.api.Headers.WAIT);
    static final HttpString PATIENCE = of(org.redwingladder.api.Headers.MAX_WAIT);
    static final HttpString NOT_RUN = of(org.redwingladder.api.Headers.NOT_RUN);

    /** Headers of a single connection, and headers that each hop sets itself. */
    private static final Set<HttpString> HOP_BY_HOP =
            Set.of(
                    Headers.CONNECTION,
                    Headers.CONTENT_LENGTH,
                    Headers.DATE,
                    Headers.EXPECT,
                    Headers.HOST,
                    Headers.KEEP_ALIVE,
                    Headers.PROXY_AUTHENTICATE,
                    Headers.PROXY_AUTHORIZATION,
                    Headers.TE,
                    Headers.TRAILER,
                    Headers.TRANSFER_ENCODING,
                    Headers.UPGRADE,
                    REQUEST_ID,
                    DEADLINE,
                    START_BY,
                    HOP,
                    FROM_ZONE,
                    BACKEND,
                    LOAD,
                    STATE,
                    WAIT,
                    PATIENCE,
                    NOT_RUN);

    private WireHeaders() {}

    /** Copies all headers except the hop-by-hop ones. */
    static void copyEndToEnd(HeaderMap from, HeaderMap to) {
        for (long i = from.fastIterateNonEmpty(); i != -1; i = from.fiNextNonEmpty(i)) {
            HeaderValues values = from.fiCurrent(i);
            if (!HOP_BY_HOP.contains(values.getHeaderName())) {
                to.putAll(values.getHeaderName(), values);
            }
        }
    }

    private static HttpString of(String name) {
        return new HttpString(name);
    }
}
