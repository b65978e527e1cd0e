package org.redwingladder.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.redwingladder.http.Json;

/** Holds the commands that read and change the state of entry hosts. */
final class HostCommands {
    private HostCommands() {}

    /** Prints the state of an entry host. */
    static final class Status extends OperatorCommand {
        @Override
        String summary() {
            return "Prints the state of an entry host.";
        }

        @Override
        ExitCode run(OperatorClient client, PrintStream out) throws ToolException {
            JsonNode answer = OperatorClient.require(client.get("/v1/status"));
            print(out, answer, answer.toPrettyString());
            return ExitCode.OK;
        }
    }

    /** Starts a planned stop. */
    static final class Drain extends OperatorCommand {
        @Override
        String summary() {
            return "Starts the planned stop of an entry host.";
        }

        @Override
        ExitCode run(OperatorClient client, PrintStream out) throws ToolException {
            JsonNode answer = OperatorClient.require(client.post("/v1/drain", Map.of()));
            print(out, answer, "draining");
            return ExitCode.OK;
        }
    }

    /** Lists or removes the members of a zone. */
    static final class Members extends OperatorCommand {
        @Option(
                name = "--dead",
                metaVar = "HOST",
                usage = "with remove: the host whose process has certainly ended")
        private @Nullable String mDead;

        @Argument(metaVar = "ACTION", usage = "list (default) or remove")
        private String mAction = "list";

        @Override
        String summary() {
            return "Lists the members of the entry host's zone, or removes a dead one.";
        }

        @Override
        ExitCode run(OperatorClient client, PrintStream out) throws ToolException {
            return switch (mAction) {
                case "list" -> list(client, out);
                case "remove" -> remove(client, out);
                default ->
                        throw new ToolException(
                                ExitCode.USAGE, "ACTION is list or remove, found " + mAction);
            };
        }

        private ExitCode list(OperatorClient client, PrintStream out) throws ToolException {
            JsonNode roster = OperatorClient.require(client.get("/v1/status")).path("roster");
            ObjectNode node = Json.mapper().createObjectNode();
            node.set("roster", roster);
            StringBuilder text = new StringBuilder();
            text.append("epoch ").append(roster.path("epoch").asText("?"));
            text.append(", settled ").append(roster.path("settledEpoch").asText("?"));
            for (JsonNode member : roster.path("members")) {
                text.append(
                        String.format(
                                "%n%-20s %-24s %-8s %s",
                                member.path("host").asText(),
                                member.path("incarnation").asText(),
                                member.path("state").asText(),
                                member.path("clientAddress").asText()));
            }
            print(out, node, text.toString());
            return ExitCode.OK;
        }

        private ExitCode remove(OperatorClient client, PrintStream out) throws ToolException {
            if (mDead == null) {
                throw new ToolException(ExitCode.USAGE, "remove needs --dead HOST");
            }
            JsonNode answer =
                    OperatorClient.require(
                            client.post("/v1/members/remove", Map.of("host", mDead, "dead", true)));
            print(out, answer, "removed " + mDead);
            return ExitCode.OK;
        }
    }
}
