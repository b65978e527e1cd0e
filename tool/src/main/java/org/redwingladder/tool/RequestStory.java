package org.redwingladder.tool;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.redwingladder.http.Json;

/** Joins the log lines on one request with what its hosts learned shortly before. */
final class RequestStory {
    /** A change of what a host believes is shown if it came this long before the request's end. */
    private static final long BEFORE_MILLIS = 10_000;

    /** The changes that are shown at most, the newest ones. */
    private static final int MAX_CHANGES = 20;

    private final String mRequestId;
    private final List<LogLine> mRequest;
    private final List<LogLine> mChanges;
    private final List<String> mCauses;
    private final LogFiles mLogs;

    private RequestStory(
            String requestId,
            List<LogLine> request,
            List<LogLine> changes,
            List<String> causes,
            LogFiles logs) {
        mRequestId = requestId;
        mRequest = request;
        mChanges = changes;
        mCauses = causes;
        mLogs = logs;
    }

    /** Returns the story of a request. */
    static RequestStory of(String requestId, LogFiles logs) {
        List<LogLine> request =
                logs.lines().stream().filter(line -> line.concerns(requestId)).toList();
        List<LogLine> changes = changes(request, logs.lines());
        List<String> causes = new ArrayList<>();
        for (LogLine line : request) {
            if (RequestCause.decides(line)) {
                causes.add(line.host() + " " + RequestCause.of(line, changes));
            }
        }
        return new RequestStory(requestId, request, changes, causes, logs);
    }

    private static List<LogLine> changes(List<LogLine> request, List<LogLine> all) {
        if (request.isEmpty()) {
            return List.of();
        }
        long end = request.get(request.size() - 1).timeMillis();
        Set<String> hosts = new LinkedHashSet<>();
        request.forEach(line -> hosts.add(line.host()));
        List<LogLine> changes = new ArrayList<>();
        for (LogLine line : all) {
            if (!line.part().equals("request")
                    && hosts.contains(line.host())
                    && line.timeMillis() <= end
                    && line.timeMillis() >= end - BEFORE_MILLIS) {
                changes.add(line);
            }
        }
        int first = Math.max(0, changes.size() - MAX_CHANGES);
        return changes.subList(first, changes.size());
    }

    /** Returns whether the logs name the request. */
    boolean found() {
        return !mRequest.isEmpty();
    }

    /** Returns the story for people. */
    String text() {
        StringBuilder text = new StringBuilder();
        if (found()) {
            text.append("request ").append(mRequestId).append('\n');
            mRequest.forEach(line -> text.append("  ").append(line.format()).append('\n'));
            if (!mChanges.isEmpty()) {
                text.append("what its hosts learned in the 10 s before\n");
                mChanges.forEach(line -> text.append("  ").append(line.format()).append('\n'));
            }
            if (mCauses.isEmpty()) {
                text.append("cause: unknown, the logs do not show how the request ended\n");
            }
            mCauses.forEach(cause -> text.append("cause: ").append(cause).append('\n'));
        } else {
            text.append("no line names request ").append(mRequestId);
            text.append("; of the answers in time only a sample is logged\n");
        }
        if (mLogs.badLines() > 0) {
            text.append(mLogs.badLines()).append(" lines could not be read\n");
        }
        if (mLogs.droppedLines() > 0) {
            text.append("the hosts dropped ").append(mLogs.droppedLines()).append(" lines\n");
        }
        return text.toString().stripTrailing();
    }

    /** Returns the story for programs. */
    ObjectNode json() {
        ObjectNode node = Json.mapper().createObjectNode();
        node.put("requestId", mRequestId);
        node.put("found", found());
        ArrayNode request = node.putArray("request");
        mRequest.forEach(line -> request.add(line.fields()));
        ArrayNode changes = node.putArray("changes");
        mChanges.forEach(line -> changes.add(line.fields()));
        ArrayNode causes = node.putArray("causes");
        mCauses.forEach(causes::add);
        node.put("badLines", mLogs.badLines());
        node.put("droppedLines", mLogs.droppedLines());
        return node;
    }
}
