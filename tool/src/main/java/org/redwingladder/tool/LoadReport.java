package org.redwingladder.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writes the report of a load as a table. */
final class LoadReport {
    private LoadReport() {}

    /** Returns {@code report} as text. */
    static String text(JsonNode report) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%-20s %8s %8s %8s %8s %9s %9s %9s%n",
                        "service",
                        "requests",
                        "whole",
                        "refused",
                        "unknown",
                        "p50 ms",
                        "p99 ms",
                        "p99.9 ms"));
        List<Map.Entry<String, JsonNode>> rows = new ArrayList<>();
        rows.addAll(report.path("services").properties());
        rows.addAll(report.path("streams").properties());
        for (Map.Entry<String, JsonNode> row : rows) {
            text.append(line(row.getKey(), row.getValue()));
        }
        for (Map.Entry<String, JsonNode> row : report.path("services").properties()) {
            for (String kind : List.of("refusals", "retries", "failures")) {
                if (!row.getValue().path(kind).isEmpty()) {
                    text.append(row.getKey()).append(' ').append(kind).append(':');
                    row.getValue()
                            .path(kind)
                            .properties()
                            .forEach(
                                    e ->
                                            text.append(' ')
                                                    .append(e.getKey())
                                                    .append('=')
                                                    .append(e.getValue()));
                    text.append(System.lineSeparator());
                }
            }
        }
        text.append("look-ups: ").append(report.path("lookups"));
        text.append(", latest start after its schedule: ");
        text.append(report.path("latestStartMillis")).append(" ms");
        return text.toString();
    }

    private static String line(String name, JsonNode row) {
        return String.format(
                Locale.ROOT,
                "%-20s %8d %8d %8d %8d %9.1f %9.1f %9.1f%n",
                name,
                row.path("requests").asLong(),
                row.path("whole").asLong(),
                row.path("refused").asLong(),
                row.path("unknown").asLong(),
                row.path("p50").asDouble(),
                row.path("p99").asDouble(),
                row.path("p999").asDouble());
    }

    /** Returns one request as a line of the records file. */
    static ObjectNode record(LoadPlan.Stream stream, long scheduledAt, RequestResult result) {
        ObjectNode node = org.redwingladder.http.Json.mapper().createObjectNode();
        node.put("id", result.work().id());
        node.put("stream", stream.name());
        node.put("service", stream.service());
        node.put("method", stream.method());
        node.put("once", stream.once());
        node.put("scheduledAt", scheduledAt);
        node.put("deadlineAt", result.work().deadlineMillis());
        node.put("end", result.end().name().toLowerCase(Locale.ROOT));
        node.put("message", result.message());
        var attempts = node.putArray("attempts");
        for (RequestResult.Attempt attempt : result.attempts()) {
            ObjectNode each = attempts.addObject();
            each.put("requestId", attempt.requestId());
            each.put("address", attempt.address());
            each.put("sentAt", attempt.sentAt());
            each.put("endedAt", attempt.endedAt());
            each.put("kind", kind(attempt.result()));
            each.put("reason", attempt.result().reason());
            switch (attempt.result()) {
                case AttemptResult.Lost lost -> each.put("detail", lost.detail());
                case AttemptResult.Refused refused ->
                        each.put("detail", refused.refusal().message());
                default -> {
                    // The reason says all.
                }
            }
        }
        return node;
    }

    private static String kind(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Whole whole -> "whole";
            case AttemptResult.NeverSent neverSent -> "never-sent";
            case AttemptResult.Refused refused -> refused.refusal().outcome().wireName();
            case AttemptResult.Lost lost -> "lost";
            case AttemptResult.Wrong wrong -> "wrong";
        };
    }
}
