package org.redwingladder.request;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.routing.WorkClass;

/** The metrics of the request pipeline. */
final class RequestMetrics {
    private final MetricRegistry mRegistry;
    private final Map<RefusalReason, Counter> mRefusals = new EnumMap<>(RefusalReason.class);
    private final Map<RefusalReason, Counter> mRetries = new EnumMap<>(RefusalReason.class);
    private final Map<String, Histogram> mLatencies = new ConcurrentHashMap<>();
    private final Counter mRequests;
    private final Counter mCompletedResponses;
    private final Counter mTruncatedResponses;
    private final Counter mHedges;
    private final Counter mClientDisconnects;

    RequestMetrics(MetricRegistry registry) {
        mRegistry = registry;
        for (RefusalReason reason : RefusalReason.values()) {
            mRefusals.put(reason, registry.counter("refusal." + reason.wireName()));
            mRetries.put(reason, registry.counter("retry." + reason.wireName()));
        }
        mRequests = registry.counter("requests");
        mCompletedResponses = registry.counter("answers");
        mTruncatedResponses = registry.counter("answers.cut-off");
        mHedges = registry.counter("hedges");
        mClientDisconnects = registry.counter("clients.gone");
    }

    void request() {
        mRequests.inc();
    }

    void refusal(RefusalReason reason) {
        increment(mRefusals.get(reason));
    }

    void retry(RefusalReason reason) {
        increment(mRetries.get(reason));
    }

    void hedge() {
        mHedges.inc();
    }

    /** Counts a streamed response whose transfer failed. */
    void responseTruncated() {
        mTruncatedResponses.inc();
    }

    void clientDisconnected() {
        mClientDisconnects.inc();
    }

    /**
     * Counts a complete response and records its latency in a histogram of microseconds.
     *
     * @param workClass the configured work class; null if it is learned
     * @param latencyNanos the time since the request was received
     */
    void responseCompleted(String service, @Nullable WorkClass workClass, long latencyNanos) {
        mCompletedResponses.inc();
        String name =
                workClass == null ? "learned" : workClass == WorkClass.SHORT ? "short" : "long";
        mLatencies
                .computeIfAbsent("latency." + service + "." + name, this::histogram)
                .update(TimeUnit.NANOSECONDS.toMicros(latencyNanos));
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(
                name,
                () -> new Histogram(LockFreeExponentiallyDecayingReservoir.builder().build()));
    }

    private static void increment(@Nullable Counter counter) {
        if (counter != null) {
            counter.inc();
        }
    }
}
