package org.redwingladder.entry;

import java.util.Collection;
import org.redwingladder.steering.Backend;
import org.redwingladder.steering.Placement;
import org.redwingladder.steering.SendResult;

/** Logs and counts the decisions on one request. */
final class RequestLog {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final FlowContext mContext;
    private final FlowContext.Arrival mArrival;

    RequestLog(FlowContext context, FlowContext.Arrival arrival) {
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
                .with("millis", elapsedMillis());
    }

    private long elapsedMillis() {
        return (System.nanoTime() - mArrival.arrivedNanos()) / NANOS_PER_MILLI;
    }

    void repeated(String reason) {
        mContext.metrics().count("request.repeat." + reason);
        line("repeat").with("reason", reason).write();
    }

    void refused(String reason, int tried) {
        mContext.metrics().count("request.refused." + reason);
        line("refused").with("reason", reason).with("tried", tried).write();
    }

    void failed(int status, String reason, SendResult last, Collection<Backend> tried) {
        mContext.metrics().count("request.failed." + status);
        line("failed")
                .with("status", status)
                .with("reason", reason)
                .with("last", last)
                .with("servers", names(tried))
                .write();
    }

    private static String names(Collection<Backend> tried) {
        StringBuilder names = new StringBuilder();
        for (Backend backend : tried) {
            names.append(names.isEmpty() ? "" : ",").append(backend.entry().id());
        }
        return names.toString();
    }

    /**
     * Notes an answer of a backend server.
     *
     * @param load the requests that the server was expected to hold when it was chosen
     */
    void answered(Placement.Send placement, double load, long sentNanos, int status) {
        mContext.metrics().answered(mArrival.service(), elapsedMillis());
        if (!mContext.sampled()) {
            return;
        }
        line("answered")
                .with("status", status)
                .with("server", placement.server().entry().id())
                .with("sent", (sentNanos - mArrival.arrivedNanos()) / NANOS_PER_MILLI)
                .with("wait", (long) placement.waitMillis())
                .with("work", (long) placement.serviceMillis())
                .with("warm", placement.warm())
                .with("slowPercent", (long) (100 * placement.server().slowness()))
                .with("loadPercent", (long) (100 * load))
                .write();
    }
}
