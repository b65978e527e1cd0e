package org.redwingladder.bench;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.control.MetricsFormatter;

/** Measures the metrics of an entry host that owns some sites. */
final class CapacityMetrics {
    private static final int SAMPLES = 1028;

    private CapacityMetrics() {}

    /** Returns the cost of one collection of all metrics as text. */
    static CapacityLine scrape(int sites) {
        MetricRegistry registry = registry(sites);
        return new CapacityLine(
                "metrics: one collection as text",
                sites + " sites",
                MetricsFormatter.toPrometheusText(registry).length(),
                CapacityMeter.cpuMicros(() -> MetricsFormatter.toPrometheusText(registry)),
                CapacityMeter.retainedBytes(() -> registry(sites)));
    }

    private static MetricRegistry registry(int sites) {
        MetricRegistry registry = new MetricRegistry();
        for (RefusalReason reason : RefusalReason.values()) {
            registry.counter("refusal." + reason.wireName()).inc();
            registry.counter("retry." + reason.wireName()).inc();
        }
        for (int i = 0; i < sites; i++) {
            for (String workClass : new String[] {"short", "long"}) {
                Histogram histogram =
                        new Histogram(LockFreeExponentiallyDecayingReservoir.builder().build());
                for (int sample = 0; sample < SAMPLES; sample++) {
                    histogram.update(sample);
                }
                registry.register("latency.service-" + i + "." + workClass, histogram);
            }
        }
        return registry;
    }
}
