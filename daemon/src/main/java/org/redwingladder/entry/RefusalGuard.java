package org.redwingladder.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.StatusCodes;
import org.redwingladder.steering.NotRunProof;
import org.redwingladder.steering.SendResult;

/**
 * Lets only proved responses promise a client that its request has not run.
 *
 * <p>The HTTP library chooses 503 by itself if a task is rejected, whatever has been sent before.
 */
final class RefusalGuard {
    private static final AttachmentKey<NotRunProof> PROOF = AttachmentKey.create(NotRunProof.class);

    private final EventLog mLog;
    private final EntryMetrics mMetrics;

    RefusalGuard(EventLog log, EntryMetrics metrics) {
        mLog = log;
        mMetrics = metrics;
    }

    /** Checks the status of the response just before it is sent. */
    void install(HttpServerExchange exchange) {
        exchange.addResponseCommitListener(this::check);
    }

    /** Sets the status of a response that refuses the request as not run. */
    static void refuse(HttpServerExchange exchange, NotRunProof proof) {
        exchange.putAttachment(PROOF, proof);
        exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
    }

    private void check(HttpServerExchange exchange) {
        int status = exchange.getStatusCode();
        if (!SendResult.promisesNotRun(status)) {
            return;
        }
        mMetrics.count("response.not-run." + status);
        if (exchange.getAttachment(PROOF) == null) {
            mLog.event("request", "unproven-refusal").with("status", status).write();
            exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
            exchange.setPersistent(false);
        }
    }
}
