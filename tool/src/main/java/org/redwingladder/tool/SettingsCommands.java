package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.redwingladder.api.Headers;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;
import org.redwingladder.settings.SettingsCodec;
import org.redwingladder.settings.SettingsError;
import org.redwingladder.settings.SettingsException;
import org.redwingladder.settings.SettingsTree;
import org.redwingladder.settings.SettingsValidator;

/** Holds the commands that read and change settings. */
final class SettingsCommands {
    private static final String TREE = "/v1/settings/tree";

    private SettingsCommands() {}

    /** Checks a settings file without any host. */
    static final class Validate extends Command {
        @Argument(metaVar = "FILE", required = true, usage = "settings document; - for stdin")
        private String mFile = "";

        @Override
        String summary() {
            return "Checks a whole settings document and lists all errors at once.";
        }

        @Override
        ExitCode run(PrintStream out) throws ToolException {
            List<SettingsError> errors = errors();
            ObjectNode node = Json.mapper().createObjectNode();
            node.put("valid", errors.isEmpty());
            ArrayNode list = node.putArray("errors");
            StringBuilder text = new StringBuilder();
            for (SettingsError error : errors) {
                list.add(Json.mapper().<JsonNode>valueToTree(error));
                text.append(error).append(System.lineSeparator());
            }
            text.append(errors.isEmpty() ? "valid" : errors.size() + " errors");
            print(out, node, text.toString());
            return errors.isEmpty() ? ExitCode.OK : ExitCode.FAILURE;
        }

        private List<SettingsError> errors() throws ToolException {
            try {
                String text = new String(ClientCommand.readFile(mFile), UTF_8);
                return SettingsValidator.validate(SettingsCodec.parse(text));
            } catch (SettingsException e) {
                return e.errors();
            }
        }
    }

    /** Reads a value. */
    static final class Read extends OperatorCommand {
        @Argument(metaVar = "PATH", usage = "JSON pointer, such as /teams/store; default: all")
        private String mPath = "";

        @Override
        String summary() {
            return "Prints the value at a path of the settings in force.";
        }

        @Override
        ExitCode run(OperatorClient client, PrintStream out) throws ToolException {
            JsonNode answer = OperatorClient.require(client.get(TREE + checkedPath(mPath)));
            print(out, answer, answer.toPrettyString());
            return ExitCode.OK;
        }
    }

    /** Changes a value. */
    static final class Put extends OperatorCommand {
        @Option(name = "--team", metaVar = "NAME", usage = "team; default: the path's owner")
        private @Nullable String mTeam;

        @Option(name = "--team-key", required = true, metaVar = "KEY", usage = "the team's key")
        private String mKey = "";

        @Option(
                name = "--if-match",
                metaVar = "VERSION",
                usage = "version that the subtree must have; default: its version now")
        private @Nullable Long mIfMatch;

        @Option(name = "--change-id", metaVar = "ID", usage = "name of the change; default: random")
        private @Nullable String mChangeId;

        @Option(name = "--value", metaVar = "JSON", usage = "the new value; null removes it")
        private @Nullable String mValue;

        @Argument(metaVar = "PATH", required = true, usage = "JSON pointer, such as /teams/store")
        private String mPath = "";

        @Argument(index = 1, metaVar = "FILE", usage = "file with the value; - for stdin")
        private @Nullable String mFile;

        @Override
        String summary() {
            return "Replaces the value at a path of the settings.";
        }

        @Override
        ExitCode run(OperatorClient client, PrintStream out) throws ToolException {
            byte[] value = value();
            String path = TREE + checkedPath(mPath);
            long version = mIfMatch != null ? mIfMatch : subtreeVersion(client);
            String changeId = mChangeId != null ? mChangeId : "change-" + UUID.randomUUID();
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("If-Match", Long.toString(version));
            headers.put(Headers.CHANGE_ID, changeId);
            headers.put(Headers.TEAM, mTeam != null ? mTeam : ownerOf(mPath));
            headers.put(Headers.TEAM_KEY, mKey);
            OperatorClient.Answer answer = put(client, path, headers, value, changeId);
            if (answer.ok()) {
                print(
                        out,
                        answer.body(),
                        "accepted as version " + answer.body().path("version").asText("?"));
                return ExitCode.OK;
            }
            throw new ToolException(
                    exitCode(answer),
                    OperatorClient.message(answer) + "; change id " + changeId,
                    answer.body());
        }

        private static OperatorClient.Answer put(
                OperatorClient client,
                String path,
                Map<String, String> headers,
                byte[] value,
                String changeId)
                throws ToolException {
            try {
                return client.put(path, headers, value);
            } catch (ToolException e) {
                if (e.exitCode() != ExitCode.UNKNOWN) {
                    throw e;
                }
                throw new ToolException(
                        ExitCode.UNKNOWN,
                        e.getMessage() + "; ask with: settings check " + changeId);
            }
        }

        private static ExitCode exitCode(OperatorClient.Answer answer) {
            boolean unknown = "unknown".equals(answer.body().at("/error/outcome").asText());
            if (unknown || answer.status() == 504) {
                return ExitCode.UNKNOWN;
            }
            return answer.status() == 409 || answer.status() == 412
                    ? ExitCode.CONFLICT
                    : ExitCode.FAILURE;
        }

        private long subtreeVersion(OperatorClient client) throws ToolException {
            String owner = ownerOf(mPath);
            OperatorClient.Answer answer =
                    client.get(TREE + checkedPath(SettingsTree.rootOf(owner)));
            return answer.ok() ? answer.body().path("subtreeVersion").asLong(0) : 0;
        }

        private byte[] value() throws ToolException {
            if ((mValue == null) == (mFile == null)) {
                throw new ToolException(ExitCode.USAGE, "give the value by --value or by FILE");
            }
            byte[] value =
                    mValue != null
                            ? mValue.getBytes(UTF_8)
                            : ClientCommand.readFile(java.util.Objects.requireNonNull(mFile));
            try {
                Json.tree(value);
                return value;
            } catch (JsonException e) {
                throw new ToolException(ExitCode.USAGE, "the value is not JSON: " + e.getMessage());
            }
        }
    }

    /** Lists changes. */
    static final class History extends OperatorCommand {
        @Option(name = "--after", metaVar = "VERSION", usage = "only changes after this version")
        private long mAfter;

        @Override
        String summary() {
            return "Lists the accepted changes.";
        }

        @Override
        ExitCode run(OperatorClient client, PrintStream out) throws ToolException {
            JsonNode answer =
                    OperatorClient.require(client.get("/v1/settings/history?after=" + mAfter));
            StringBuilder text = new StringBuilder();
            for (JsonNode change : answer.path("changes")) {
                text.append(
                        String.format(
                                "%6s %-24s %-12s %-40s %s%n",
                                change.path("version").asText(),
                                change.path("changeId").asText(),
                                change.path("team").asText(),
                                change.path("path").asText(),
                                change.path("author").asText()));
            }
            print(out, answer, text.toString().stripTrailing());
            return ExitCode.OK;
        }
    }

    /** Asks what became of a change. */
    static final class Check extends OperatorCommand {
        @Argument(metaVar = "CHANGE-ID", required = true, usage = "name of the change")
        private String mChangeId = "";

        @Override
        String summary() {
            return "Tells whether a change was accepted.";
        }

        @Override
        ExitCode run(OperatorClient client, PrintStream out) throws ToolException {
            OperatorClient.Answer answer = client.get("/v1/settings/changes/" + mChangeId);
            String state = answer.body().path("state").asText("unknown");
            print(
                    out,
                    answer.body(),
                    state.equals("accepted")
                            ? "accepted as version " + answer.body().path("version").asText("?")
                            : state);
            return switch (state) {
                case "accepted" -> ExitCode.OK;
                case "not-accepted" -> ExitCode.FAILURE;
                default -> ExitCode.UNKNOWN;
            };
        }
    }

    private static String ownerOf(String path) throws ToolException {
        try {
            return SettingsTree.ownerOf(path);
        } catch (SettingsException e) {
            throw new ToolException(ExitCode.USAGE, e.getMessage());
        }
    }

    private static String checkedPath(String path) throws ToolException {
        if (!path.isEmpty() && !path.startsWith("/")) {
            throw new ToolException(ExitCode.USAGE, "PATH must start with /, found " + path);
        }
        return path;
    }
}
