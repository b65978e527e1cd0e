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

/** Counts what the request path does. */
final class RequestMetrics {
    private final MetricRegistry mRegistry;
    private final Map<RefusalReason, Counter> mRefusals = new EnumMap<>(RefusalReason.class);
    private final Map<RefusalReason, Counter> mRetries = new EnumMap<>(RefusalReason.class);
    private final Map<String, Histogram> mLatencies = new ConcurrentHashMap<>();
    private final Counter mRequests;
    private final Counter mAnswers;
    private final Counter mCutOff;
    private final Counter mHedges;
    private final Counter mClientsGone;

    RequestMetrics(MetricRegistry registry) {
        mRegistry = registry;
        for (RefusalReason reason : RefusalReason.values()) {
            mRefusals.put(reason, registry.counter("refusal." + reason.wireName()));
            mRetries.put(reason, registry.counter("retry." + reason.wireName()));
        }
        mRequests = registry.counter("requests");
        mAnswers = registry.counter("answers");
        mCutOff = registry.counter("answers.cut-off");
        mHedges = registry.counter("hedges");
        mClientsGone = registry.counter("clients.gone");
    }

    void request() {
        mRequests.inc();
    }

    void refusal(RefusalReason reason) {
        inc(mRefusals.get(reason));
    }

    void retry(RefusalReason reason) {
        inc(mRetries.get(reason));
    }

    void hedge() {
        mHedges.inc();
    }

    void cutOff() {
        mCutOff.inc();
    }

    void clientGone() {
        mClientsGone.inc();
    }

    /** Counts a whole answer of a service and how long it took, in microseconds. */
    void answer(String service, @Nullable WorkClass workClass, long nanos) {
        mAnswers.inc();
        String name =
                workClass == null ? "learned" : workClass == WorkClass.SHORT ? "short" : "long";
        mLatencies
                .computeIfAbsent("latency." + service + "." + name, this::histogram)
                .update(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(
                name,
                () -> new Histogram(LockFreeExponentiallyDecayingReservoir.builder().build()));
    }

    private static void inc(@Nullable Counter counter) {
        if (counter != null) {
            counter.inc();
        }
    }
}
