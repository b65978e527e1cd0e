package org.redwingladder.request;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.api.RefusalReason;

/** Handles look-ups: returns the entry hosts that a client block should use for a service. */
final class LookupHandler {
    private final ClusterView mView;
    private final TimeSource mTime;
    private final AtMostOnceRequests mAtMostOnce;

    LookupHandler(PipelineContext context, AtMostOnceRequests once) {
        mView = context.view();
        mTime = context.time();
        mAtMostOnce = once;
    }

    /**
     * Writes the look-up answer.
     *
     * @throws RefusedException if this host is not ready, or the service or block is unknown
     */
    void handle(HttpServerExchange exchange) throws RefusedException {
        if (!Methods.GET.equals(exchange.getRequestMethod())) {
            throw RefusedException.notRun(
                    RefusalReason.BAD_REQUEST, "unsupported method for a look-up; allowed: GET");
        }
        ClusterView.Readiness readiness = mView.readiness();
        if (readiness.state() == ClusterView.Readiness.State.NOT_READY) {
            throw RefusedException.notRun(RefusalReason.NOT_READY, readiness.reason());
        }
        String name = RequestReader.parameter(exchange, "service");
        ServiceSpec service = name == null ? null : mView.service(name);
        if (service == null) {
            throw RefusedException.notRun(
                    RefusalReason.UNKNOWN_SERVICE, "unknown service '" + name + "'");
        }
        int block = block(RequestReader.parameter(exchange, "block"));
        LookupResponse answer = mView.lookup(service.name(), block, mTime.millis());
        if (answer == null) {
            throw RefusedException.notRun(
                    RefusalReason.NOT_READY, "no entry host is known for the service yet");
        }
        boolean once = "true".equals(RequestReader.parameter(exchange, "once"));
        HttpResponses.writeJson(exchange, once ? withToken(answer, service) : answer);
    }

    private LookupResponse withToken(LookupResponse answer, ServiceSpec service) {
        // A request sent just before the look-up answer expires may run for the maximum time.
        long expiresAt = answer.expiresAt() + service.maxRequestMillis();
        return new LookupResponse(
                answer.service(),
                answer.block(),
                answer.entryHosts(),
                answer.expiresAt(),
                answer.settingsVersion(),
                mAtMostOnce.issueToken(service.name(), expiresAt));
    }

    private int block(@org.jspecify.annotations.Nullable String text) throws RefusedException {
        try {
            int block = text == null ? -1 : Integer.parseInt(text);
            if (block >= 0 && block < mView.blockCount()) {
                return block;
            }
        } catch (NumberFormatException e) {
            // Refused below, like a block out of range.
        }
        throw RefusedException.notRun(
                RefusalReason.BAD_REQUEST,
                "block is '" + text + "'; allowed: 0 to " + (mView.blockCount() - 1));
    }
}
