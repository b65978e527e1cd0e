package org.redwingladder.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;
import java.util.HashMap;
import java.util.Map;

/** Counts what an entry host does. */
final class EntryMetrics {
    private static final int RESERVOIR = 256;

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Map<String, Histogram> mTimes = new HashMap<>();

    MetricRegistry registry() {
        return mRegistry;
    }

    void count(String name) {
        mRegistry.counter(name).inc();
    }

    void gauge(String name, Gauge<Number> gauge) {
        mRegistry.register(name, gauge);
    }

    /** Takes over the time of a request that was answered. */
    void answered(String service, long millis) {
        mTimes.computeIfAbsent(
                        service,
                        s ->
                                mRegistry.register(
                                        "request.millis." + s,
                                        new Histogram(new UniformReservoir(RESERVOIR))))
                .update(millis);
    }
}
