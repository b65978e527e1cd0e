package org.redwingladder.request;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.xnio.IoUtils;

/** Maps exceptions of HTTP handlers to typed error responses, without stack traces. */
final class ExceptionMapper {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Handles a request. */
    interface Handler {
        void handle(HttpServerExchange exchange, String requestId) throws RefusedException;
    }

    private ExceptionMapper() {}

    /** Runs {@code handler} and maps its exceptions to a response. */
    static void run(HttpServerExchange exchange, Handler handler) {
        String requestId = RequestReader.requestId(exchange);
        try {
            handler.handle(exchange, requestId);
        } catch (RefusedException e) {
            HttpResponses.writeRefusal(exchange, requestId, e.refusal());
        } catch (RuntimeException e) {
            LOG.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
                    "ingress: request %s failed with an internal error", requestId);
            if (exchange.isResponseStarted()) {
                IoUtils.safeClose(exchange.getConnection());
            } else {
                HttpResponses.writeRefusal(
                        exchange,
                        requestId,
                        Refusal.unknown(
                                RefusalReason.PEER_LOST, "internal error of the entry host"));
            }
        }
    }
}
