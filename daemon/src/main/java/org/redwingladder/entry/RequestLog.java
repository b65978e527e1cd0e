package org.redwingladder.entry;

import org.redwingladder.steering.Backend;
import org.redwingladder.steering.Placement;
import org.redwingladder.steering.SendResult;

/** Logs and counts the decisions on one request. */
final class RequestLog {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ProxyHandler mContext;
    private final ProxyHandler.RoutedRequest mArrival;
    private final StringBuilder mSends = new StringBuilder(0);

    RequestLog(ProxyHandler context, ProxyHandler.RoutedRequest arrival) {
        mContext = context;
        mArrival = arrival;
    }

    private EventLog.Line line(String event) {
        return mContext.log()
                .event("request", event)
                .with("id", mArrival.client().requestId())
                .with("route", mArrival.route().name())
                .with("service", mArrival.service())
                .with("object", mArrival.client().objectKey())
                .with("settings", mContext.router().settingsVersion())
                .with("millis", elapsedMillis());
    }

    private long elapsedMillis() {
        return sinceArrival(System.nanoTime());
    }

    private long sinceArrival(long nanos) {
        return (nanos - mArrival.arrivedNanos()) / NANOS_PER_MILLI;
    }

    /**
     * Notes the end of a send: the server, when it was sent and when it ended in milliseconds since
     * the arrival, and how it ended.
     */
    void ended(Backend server, long sentNanos, SendResult result) {
        mSends.append(mSends.isEmpty() ? "" : " ")
                .append(server.entry().id())
                .append(':')
                .append(sinceArrival(sentNanos))
                .append('-')
                .append(elapsedMillis())
                .append(':')
                .append(result);
    }

    /** Notes that a send changed whether its server is used. */
    void useChanged(Backend server, SendResult result) {
        boolean ejected = server.ejected();
        mContext.metrics().count(ejected ? "server.ejected." + result : "server.returned");
        EventLog.Line line =
                mContext.log()
                        .event("state", ejected ? "server-ejected" : "server-returned")
                        .with("server", server.entry().id())
                        .with("service", server.entry().service())
                        .with("result", result)
                        .with("id", mArrival.client().requestId());
        if (ejected) {
            long left = server.ejectedUntilNanos() - System.nanoTime();
            line.with("forMillis", left / NANOS_PER_MILLI).with("times", server.ejections());
        }
        line.write();
    }

    /** Notes that the client left before its answer. */
    void clientGone() {
        mContext.metrics().count("request.client-gone");
        line("client-gone").with("sends", mSends).write();
    }

    void repeated(String reason) {
        mContext.metrics().count("request.repeat." + reason);
        line("repeat").with("reason", reason).with("sends", mSends).write();
    }

    /** Notes a refusal that follows from the state of the servers. */
    void refused(Placement.Refuse refuse) {
        mContext.metrics().count("request.refused." + refuse.reason());
        line("refused")
                .with("reason", refuse.reason())
                .with("wait", (long) refuse.waitMillis())
                .with("allowed", (long) refuse.allowedMillis())
                .with("servers", refuse.servers())
                .with("retryAfter", refuse.retryAfterMillis())
                .write();
    }

    /** Notes a refusal of a request that no server took. */
    void refused(String reason) {
        mContext.metrics().count("request.refused." + reason);
        line("refused").with("reason", reason).with("sends", mSends).write();
    }

    void failed(int status, String reason, SendResult last) {
        mContext.metrics().count("request.failed." + status);
        line("failed")
                .with("status", status)
                .with("reason", reason)
                .with("last", last)
                .with("sends", mSends)
                .write();
    }

    /**
     * Notes an answer of a backend server.
     *
     * @param load the requests that the server was expected to hold when it was chosen
     */
    void answered(Placement.Send placement, double load, long sentNanos, int status) {
        long millis = elapsedMillis();
        mContext.metrics().answered(mArrival.service(), millis);
        boolean late = millis > mArrival.route().objectiveMillis();
        if (!mContext.sampled() && !late) {
            return;
        }
        line("answered")
                .with("status", status)
                .with("server", placement.server().entry().id())
                .with("objective", mArrival.route().objectiveMillis())
                .with("sent", sinceArrival(sentNanos))
                .with("wait", (long) placement.waitMillis())
                .with("work", (long) placement.serviceMillis())
                .with("warm", placement.warm())
                .with("slowPercent", (long) (100 * placement.server().slowness()))
                .with("loadPercent", (long) (100 * load))
                .with("sends", mSends)
                .write();
    }
}
