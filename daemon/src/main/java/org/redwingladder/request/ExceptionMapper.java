package org.redwingladder.request;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.redwingladder.api.Refusal;
import org.redwingladder.api.RefusalReason;
import org.xnio.IoUtils;

/** Turns every failure of a handler into a typed error, so that no stack trace goes out. */
final class ExceptionMapper {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Handles a request that has an id. */
    interface Step {
        void run(HttpServerExchange exchange, String requestId) throws RefusedException;
    }

    private ExceptionMapper() {}

    static void run(HttpServerExchange exchange, Step step) {
        String requestId = RequestReader.requestId(exchange);
        try {
            step.run(exchange, requestId);
        } catch (RefusedException e) {
            HttpResponses.refusal(exchange, requestId, e.refusal());
        } catch (RuntimeException e) {
            LOG.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
                    "ingress: request %s failed", requestId);
            if (exchange.isResponseStarted()) {
                IoUtils.safeClose(exchange.getConnection());
            } else {
                HttpResponses.refusal(
                        exchange,
                        requestId,
                        Refusal.unknown(RefusalReason.PEER_LOST, "the entry host failed"));
            }
        }
    }
}
