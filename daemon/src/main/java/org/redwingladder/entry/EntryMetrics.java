package org.redwingladder.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;
import java.util.HashMap;
import java.util.Map;

/** The counters, gauges and response time histograms of an entry host. */
final class EntryMetrics {
    private static final int RESERVOIR_SIZE = 256;

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Map<String, Histogram> mResponseTimes = new HashMap<>();

    MetricRegistry registry() {
        return mRegistry;
    }

    void count(String name) {
        mRegistry.counter(name).inc();
    }

    void gauge(String name, Gauge<Number> gauge) {
        mRegistry.register(name, gauge);
    }

    void remove(String name) {
        mRegistry.remove(name);
    }

    /** Records the response time of a request in the histogram of its service. */
    void recordResponseTime(String service, long millis) {
        mResponseTimes
                .computeIfAbsent(
                        service,
                        s ->
                                mRegistry.register(
                                        "request.millis." + s,
                                        new Histogram(new UniformReservoir(RESERVOIR_SIZE))))
                .update(millis);
    }
}
