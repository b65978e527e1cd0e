package org.redwingladder.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * Holds one line of an entry host's log.
 *
 * @param timeMillis when it was written, by the host's clock
 * @param host the host, "?" if the line does not name it
 * @param part the part of the host that wrote it
 * @param event what happened
 * @param fields the whole line
 */
record LogLine(long timeMillis, String host, String part, String event, JsonNode fields) {

    /** Returns whether {@code node} has the members that each line has. */
    static boolean wellFormed(JsonNode node) {
        return node.path("part").isTextual() && node.path("event").isTextual();
    }

    static LogLine of(JsonNode node) {
        return new LogLine(
                node.path("time").asLong(),
                node.path("host").asText("?"),
                node.path("part").asText(),
                node.path("event").asText(),
                node);
    }

    String text(String name) {
        return fields.path(name).asText("");
    }

    long number(String name) {
        return fields.path(name).asLong();
    }

    boolean concerns(String requestId) {
        return part.equals("request") && text("id").equals(requestId);
    }

    /** Returns the line for people: time, host, part, event and the other members. */
    String format() {
        StringBuilder line = new StringBuilder();
        line.append(timeMillis).append(' ').append(host).append(' ');
        line.append(part).append(": ").append(event);
        for (Map.Entry<String, JsonNode> member : fields.properties()) {
            switch (member.getKey()) {
                case "time", "host", "part", "event", "id" -> {}
                default ->
                        line.append(' ')
                                .append(member.getKey())
                                .append('=')
                                .append(member.getValue().asText());
            }
        }
        return line.toString();
    }
}
