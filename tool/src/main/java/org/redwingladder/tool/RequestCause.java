package org.redwingladder.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Says in one sentence why a request ended as a log line tells. */
final class RequestCause {
    /** The ends of a request. */
    private static final Set<String> DECIDING =
            Set.of("answered", "refused", "failed", "denied", "client-gone", "body-lost");

    /** What can take servers away from a request. */
    private static final Set<String> SERVER_CHANGES =
            Set.of(
                    "evacuated",
                    "servers",
                    "server-absent",
                    "server-cold",
                    "server-ejected",
                    "server-leaving",
                    "server-limit",
                    "server-limit-ended",
                    "restored",
                    "returned-servers-unused");

    /** A server whose answers take this much longer than usual, in percent, is named slow. */
    private static final long SLOW_PERCENT = 150;

    /** A delay is named as a reason from this part of the objective on. */
    private static final double NOTABLE_PART = 0.1;

    /** One send: server, milliseconds since the arrival of its start and end, and how it ended. */
    private static final Pattern SEND = Pattern.compile("(\\S+):(\\d+)-(\\d+):([A-Z_]+)");

    private RequestCause() {}

    static boolean decides(LogLine line) {
        return DECIDING.contains(line.event());
    }

    static String of(LogLine line, List<LogLine> changes) {
        return switch (line.event()) {
            case "refused" -> refused(line, changes);
            case "failed" ->
                    "answered "
                            + line.number("status")
                            + " ("
                            + line.text("reason")
                            + "): "
                            + sends(line)
                            + outcome(line);
            case "answered" -> answered(line);
            case "client-gone" ->
                    "gave the request up after "
                            + line.number("millis")
                            + " ms because its client left: "
                            + sends(line);
            case "denied" -> "answered " + line.number("status") + ": " + line.text("reason");
            case "body-lost" -> "did not get the whole request: " + line.text("cause");
            default -> throw new IllegalArgumentException("no end of a request: " + line.event());
        };
    }

    private static String refused(LogLine line, List<LogLine> changes) {
        return refusal(line, changes) + proof(line);
    }

    private static String refusal(LogLine line, List<LogLine> changes) {
        String reason = line.text("reason");
        return switch (reason) {
            case "OVERLOADED" ->
                    "refused it unsent: at the best of "
                            + line.number("servers")
                            + " servers of "
                            + line.text("service")
                            + " it would have waited "
                            + line.number("wait")
                            + " ms, "
                            + line.number("allowed")
                            + " ms were allowed"
                            + limited(line)
                            + serverChanges(changes);
            case "LIMITED" ->
                    "refused it unsent: all "
                            + line.number("limited")
                            + " servers of "
                            + line.text("service")
                            + " that could be used limit their requests a second, and this host's"
                            + " share of the limits is used up"
                            + serverChanges(changes);
            case "NO_SERVER" ->
                    "refused it unsent: no server of "
                            + line.text("service")
                            + " could be used"
                            + serverChanges(changes);
            case "FULL", "MISDIRECTED", "UNREACHABLE", "WITHDRAWN" ->
                    "refused it, no server ran it: " + sends(line) + serverChanges(changes);
            default -> "refused it unsent: " + reason;
        };
    }

    /** Tells how many servers were left out of the choice because of their rate limits. */
    private static String limited(LogLine line) {
        long limited = line.number("limited");
        return limited > 0 ? "; " + limited + " more limit their requests a second" : "";
    }

    /** Tells on what a status rests that promises that the request has not run. */
    private static String proof(LogLine line) {
        String proof = line.text("proof");
        return proof.isEmpty() ? "" : "; proof: " + proof;
    }

    private static String answered(LogLine line) {
        long millis = line.number("millis");
        long objective = line.number("objective");
        String took =
                "answered "
                        + line.number("status")
                        + " after "
                        + millis
                        + " ms, objective "
                        + objective
                        + " ms"
                        + proof(line);
        if (millis <= objective) {
            return took;
        }
        long sent = line.number("sent");
        long held = millis - sent;
        long expected = line.number("wait") + line.number("work");
        List<String> reasons = new ArrayList<>();
        if (sent > NOTABLE_PART * objective) {
            reasons.add(
                    "the send that brought the answer left after "
                            + sent
                            + " ms ("
                            + sends(line)
                            + ")");
        }
        if (held > expected + NOTABLE_PART * objective) {
            reasons.add(
                    "server "
                            + line.text("server")
                            + " took "
                            + held
                            + " ms, "
                            + expected
                            + " ms were expected");
        }
        if (line.number("wait") > 0) {
            reasons.add(
                    "a wait of " + line.number("wait") + " ms in the server's queue was expected");
        }
        if (line.text("warm").equals("false")) {
            reasons.add("the server did not know the object");
        }
        if (line.number("slowPercent") >= SLOW_PERCENT) {
            reasons.add(
                    "the server is slow, " + line.number("slowPercent") + "% of the usual time");
        }
        if (reasons.isEmpty()) {
            reasons.add("the work itself takes " + expected + " ms");
        }
        return took + ": " + String.join("; ", reasons);
    }

    private static String sends(LogLine line) {
        List<String> sends = new ArrayList<>();
        Matcher matcher = SEND.matcher(line.text("sends"));
        while (matcher.find()) {
            long held = Long.parseLong(matcher.group(3)) - Long.parseLong(matcher.group(2));
            sends.add("server " + matcher.group(1) + " " + result(matcher.group(4), held));
        }
        return sends.isEmpty() ? "it was not sent" : String.join(", ", sends);
    }

    private static String result(String result, long millis) {
        return switch (result) {
            case "ANSWERED" -> "answered after " + millis + " ms";
            case "FAILED" -> "answered with a failure of its own after " + millis + " ms";
            case "UNPROVEN_REFUSAL" ->
                    "refused it after " + millis + " ms without saying that it did not run it";
            case "FULL" -> "turned it away, its queue is full";
            case "MISDIRECTED" -> "is another server than the one registered there";
            case "UNREACHABLE" -> "could not be reached";
            case "WITHDRAWN" -> "became unusable before it was sent";
            case "LOST" -> "cut its answer off or sent an unusable one after " + millis + " ms";
            case "TIMED_OUT" -> "had not answered after " + millis + " ms";
            case "CANCELLED" -> "was still working on it after " + millis + " ms";
            default -> result + " after " + millis + " ms";
        };
    }

    private static String outcome(LogLine line) {
        Matcher matcher = SEND.matcher(line.text("sends"));
        while (matcher.find()) {
            switch (matcher.group(4)) {
                case "LOST", "TIMED_OUT", "CANCELLED", "FAILED", "UNPROVEN_REFUSAL" -> {
                    return "; it may have run";
                }
                default -> {}
            }
        }
        return "; it has not run";
    }

    private static String serverChanges(List<LogLine> changes) {
        List<String> last = new ArrayList<>();
        for (LogLine change : changes) {
            if (SERVER_CHANGES.contains(change.event())) {
                last.add(change.format());
            }
        }
        return last.isEmpty() ? "" : "; last change: " + last.get(last.size() - 1);
    }
}
