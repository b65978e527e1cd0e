package org.redwingladder.control;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.TreeMap;

/** Formats metrics as Prometheus text and as a JSON tree. */
public final class MetricsFormatter {
    private static final double[] QUANTILES = {0.5, 0.99, 0.999};

    private MetricsFormatter() {}

    /** Returns the metrics in the Prometheus text exposition format, version 0.0.4. */
    public static String toPrometheusText(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getMetrics().forEach((name, metric) -> append(text, prometheusName(name), metric));
        return text.toString();
    }

    /** Returns the metrics by name, as values that serialize to JSON. */
    public static Map<String, Object> toJsonTree(MetricRegistry registry) {
        Map<String, Object> tree = new TreeMap<>();
        registry.getMetrics()
                .forEach(
                        (name, metric) -> {
                            if (metric instanceof Gauge<?> gauge) {
                                Object value = gauge.getValue();
                                if (value != null) {
                                    tree.put(name, value);
                                }
                            } else if (metric instanceof Counter counter) {
                                tree.put(name, counter.getCount());
                            } else if (metric instanceof Meter meter) {
                                tree.put(name, meter.getCount());
                            } else if (metric instanceof Timer timer) {
                                tree.put(name, summary(timer.getCount(), timer.getSnapshot()));
                            } else if (metric instanceof Histogram histogram) {
                                tree.put(
                                        name,
                                        summary(histogram.getCount(), histogram.getSnapshot()));
                            }
                        });
        return tree;
    }

    private static Map<String, Object> summary(long count, Snapshot snapshot) {
        Map<String, Object> summary = new TreeMap<>();
        summary.put("count", count);
        for (double quantile : QUANTILES) {
            summary.put("p" + quantile * 100, snapshot.getValue(quantile));
        }
        return summary;
    }

    private static void append(StringBuilder text, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            if (gauge.getValue() instanceof Number number) {
                appendType(text, name, "gauge");
                appendSample(text, name, number.doubleValue());
            }
        } else if (metric instanceof Counter counter) {
            appendType(text, name + "_total", "counter");
            appendSample(text, name + "_total", counter.getCount());
        } else if (metric instanceof Meter meter) {
            appendType(text, name + "_total", "counter");
            appendSample(text, name + "_total", meter.getCount());
        } else if (metric instanceof Timer timer) {
            appendSummary(text, name, timer.getCount(), timer.getSnapshot());
        } else if (metric instanceof Histogram histogram) {
            appendSummary(text, name, histogram.getCount(), histogram.getSnapshot());
        }
    }

    private static void appendSummary(
            StringBuilder text, String name, long count, Snapshot snapshot) {
        appendType(text, name, "summary");
        for (double quantile : QUANTILES) {
            appendSample(
                    text, name + "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile));
        }
        appendSample(text, name + "_count", count);
    }

    private static void appendType(StringBuilder text, String name, String type) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    private static void appendSample(StringBuilder text, String name, double value) {
        text.append(name).append(' ');
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            text.append((long) value);
        } else {
            text.append(value);
        }
        text.append('\n');
    }

    private static String prometheusName(String name) {
        return "redwing_" + name.replaceAll("[^a-zA-Z0-9_]", "_");
    }
}
