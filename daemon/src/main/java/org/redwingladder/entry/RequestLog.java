package org.redwingladder.entry;

import org.redwingladder.http.CallException;
import org.redwingladder.http.InvalidResponseException;
import org.redwingladder.steering.Backend;
import org.redwingladder.steering.BalancerDecision;
import org.redwingladder.steering.NotRunProof;
import org.redwingladder.steering.SendResult;

/** Writes the log events and updates the metrics of one client request. */
final class RequestLog {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ProxyHandler mHandler;
    private final ProxyHandler.RoutedRequest mRequest;
    private final StringBuilder mAttempts = new StringBuilder(0);

    RequestLog(ProxyHandler handler, ProxyHandler.RoutedRequest request) {
        mHandler = handler;
        mRequest = request;
    }

    private EventLog.Line line(String event) {
        return mHandler.log()
                .event("request", event)
                .with("id", mRequest.client().requestId())
                .with("route", mRequest.route().name())
                .with("service", mRequest.service())
                .with("object", mRequest.client().objectKey())
                .with("settings", mHandler.router().settingsVersion())
                .with("millis", elapsedMillis());
    }

    private long elapsedMillis() {
        return millisSinceArrival(System.nanoTime());
    }

    private long millisSinceArrival(long nanos) {
        return (nanos - mRequest.arrivedNanos()) / NANOS_PER_MILLI;
    }

    /**
     * Records an attempt for the field {@code sends} of later events: the server, the start and end
     * in milliseconds since the arrival of the request, and the result.
     */
    void attemptEnded(Backend server, long sentNanos, SendResult result) {
        mAttempts
                .append(mAttempts.isEmpty() ? "" : " ")
                .append(server.registration().id())
                .append(':')
                .append(millisSinceArrival(sentNanos))
                .append('-')
                .append(elapsedMillis())
                .append(':')
                .append(result);
    }

    /** Logs that the result of an attempt ejected its server or ended the ejection. */
    void ejectionChanged(Backend server, SendResult result) {
        boolean ejected = server.ejected();
        mHandler.metrics().count(ejected ? "server.ejected." + result : "server.returned");
        EventLog.Line line =
                mHandler.log()
                        .event("state", ejected ? "server-ejected" : "server-returned")
                        .with("server", server.registration().id())
                        .with("service", server.registration().service())
                        .with("result", result)
                        .with("id", mRequest.client().requestId());
        if (ejected) {
            long left = server.ejectedUntilNanos() - System.nanoTime();
            line.with("forMillis", left / NANOS_PER_MILLI).with("times", server.ejections());
        }
        line.write();
    }

    /** Logs that the client disconnected before the response was complete. */
    void clientDisconnected() {
        mHandler.metrics().count("request.client-gone");
        line("client-gone").with("sends", mAttempts).write();
    }

    /** Logs the cause of a failed call if the server sent bytes that are no response. */
    void callFailed(Backend server, CallException cause) {
        if (!(cause instanceof InvalidResponseException)) {
            return;
        }
        mHandler.metrics().count("response.invalid");
        line("invalid-response")
                .with("server", server.registration().id())
                .with("violation", cause.getMessage())
                .write();
    }

    /** Logs a retry or a hedge. */
    void retried(String reason) {
        mHandler.metrics().count("request.repeat." + reason);
        line("repeat").with("reason", reason).with("sends", mAttempts).write();
    }

    /** Logs a refusal because no server is usable or the expected wait is too long. */
    void refused(BalancerDecision.Refuse refuse) {
        mHandler.metrics().count("request.refused." + refuse.reason());
        line("refused")
                .with("reason", refuse.reason())
                .with("wait", (long) refuse.waitMillis())
                .with("allowed", (long) refuse.allowedMillis())
                .with("servers", refuse.servers())
                .with("limited", refuse.limitedServers())
                .with("retryAfter", refuse.retryAfterMillis())
                .with("proof", NotRunProof.ofUnsentRequest())
                .write();
    }

    /** Logs a refusal of a request that certainly no server ran. */
    void refused(String reason, NotRunProof proof) {
        mHandler.metrics().count("request.refused." + reason);
        line("refused")
                .with("reason", reason)
                .with("sends", mAttempts)
                .with("proof", proof)
                .write();
    }

    /** Logs an error response of this host to a request that was not refused. */
    void failed(int status, String reason, SendResult last) {
        mHandler.metrics().count("request.failed." + status);
        line("failed")
                .with("status", status)
                .with("reason", reason)
                .with("last", last)
                .with("sends", mAttempts)
                .write();
    }

    /**
     * Records a response of a backend server that is forwarded to the client. It is logged if it is
     * late or sampled.
     *
     * @param load the expected number of requests at the server when the attempt was sent
     */
    void answered(BalancerDecision.Send placement, double load, long sentNanos, int status) {
        long millis = elapsedMillis();
        mHandler.metrics().recordResponseTime(mRequest.service(), millis);
        boolean late = millis > mRequest.route().objectiveMillis();
        if (!mHandler.sampleResponse() && !late) {
            return;
        }
        line("answered")
                .with("status", status)
                .with("server", placement.server().registration().id())
                .with("objective", mRequest.route().objectiveMillis())
                .with("sent", millisSinceArrival(sentNanos))
                .with("wait", (long) placement.waitMillis())
                .with("work", (long) placement.serviceMillis())
                .with("warm", placement.warm())
                .with("slowPercent", (long) (100 * placement.server().slowness()))
                .with("loadPercent", (long) (100 * load))
                .with("sends", mAttempts)
                .write();
    }
}
