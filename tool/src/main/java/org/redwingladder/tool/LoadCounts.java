package org.redwingladder.tool;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.redwingladder.api.Outcome;
import org.redwingladder.http.Json;

/** Counts the results of the requests of one service. Guarded by its own lock. */
final class LoadCounts {
    /** The histogram's range; longer times count as this, in microseconds. */
    private static final long MAX_MICROS = 600_000_000L;

    private final Histogram mLatency = new Histogram(MAX_MICROS, 3);
    private final Map<String, Long> mRefusals = new TreeMap<>();
    private final Map<String, Long> mRetries = new TreeMap<>();
    private final Map<String, Long> mFailures = new TreeMap<>();
    private long mRequests;
    private long mWhole;
    private long mRefused;
    private long mUnknown;
    private long mOtherStatus;

    /**
     * Counts one request.
     *
     * @param latencyMicros the time from its scheduled arrival to its end, in microseconds
     */
    synchronized void record(RequestResult result, long latencyMicros) {
        mRequests++;
        for (int i = 0; i < result.attempts().size(); i++) {
            AttemptResult attempt = result.attempts().get(i).result();
            countAttempt(attempt);
            if (i + 1 < result.attempts().size()) {
                mRetries.merge(attempt.reason(), 1L, Long::sum);
            }
        }
        switch (result.end()) {
            case ANSWERED -> countAnswer(result, latencyMicros);
            case REFUSED -> mRefused++;
            case UNKNOWN -> mUnknown++;
            default -> throw new AssertionError(result.end());
        }
    }

    private void countAnswer(RequestResult result, long latencyMicros) {
        AttemptResult last = result.attempts().get(result.attempts().size() - 1).result();
        if (last instanceof AttemptResult.Whole whole && whole.status() / 100 == 2) {
            mWhole++;
            mLatency.recordValue(Math.min(MAX_MICROS, Math.max(0, latencyMicros)));
        } else {
            mOtherStatus++;
        }
    }

    private void countAttempt(AttemptResult attempt) {
        switch (attempt) {
            case AttemptResult.Whole whole -> {
                // Counted with the request's end.
            }
            case AttemptResult.Refused refused -> {
                String unknown = refused.refusal().outcome() == Outcome.UNKNOWN ? " (unknown)" : "";
                mRefusals.merge(attempt.reason() + unknown, 1L, Long::sum);
            }
            case AttemptResult.NeverSent neverSent ->
                    mFailures.merge(neverSent.reason(), 1L, Long::sum);
            case AttemptResult.Lost lost -> mFailures.merge(lost.reason(), 1L, Long::sum);
            case AttemptResult.Wrong wrong -> mFailures.merge(wrong.reason(), 1L, Long::sum);
        }
    }

    /** Returns the counts as JSON; latencies are in milliseconds. */
    synchronized ObjectNode toJson() {
        ObjectNode node = Json.mapper().createObjectNode();
        node.put("requests", mRequests);
        node.put("whole", mWhole);
        node.put("refused", mRefused);
        node.put("unknown", mUnknown);
        node.put("otherStatus", mOtherStatus);
        node.set("refusals", Json.mapper().valueToTree(mRefusals));
        node.set("retries", Json.mapper().valueToTree(mRetries));
        node.set("failures", Json.mapper().valueToTree(mFailures));
        node.put("p50", millis(50));
        node.put("p99", millis(99));
        node.put("p999", millis(99.9));
        node.put("max", mLatency.getMaxValue() / 1e3);
        return node;
    }

    private double millis(double percentile) {
        return mLatency.getTotalCount() == 0 ? 0 : mLatency.getValueAtPercentile(percentile) / 1e3;
    }
}
