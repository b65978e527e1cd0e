package org.redwingladder.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints what entry hosts did with a request, from a live host or from log files. */
final class ExplainCommand extends Command {
    @Option(
            name = "--operator",
            metaVar = "IP:PORT",
            usage = "operator listener of the entry host to ask")
    private @Nullable String mOperator;

    @Option(name = "--logs", usage = "read the log files that stand before the request's id")
    private boolean mLogs;

    @Argument(
            metaVar = "[FILE...] REQUEST-ID",
            multiValued = true,
            required = true,
            usage = "log files of entry hosts, with --logs, and the request's id")
    private List<String> mArguments = new ArrayList<>();

    @Override
    String summary() {
        return "Prints what entry hosts did with a request and why.";
    }

    @Override
    ExitCode run(PrintStream out) throws ToolException, IOException {
        String requestId = mArguments.get(mArguments.size() - 1);
        List<String> files = mArguments.subList(0, mArguments.size() - 1);
        if (mLogs) {
            return fromLogs(files, requestId, out);
        }
        if (mOperator == null || !files.isEmpty()) {
            throw new ToolException(
                    ExitCode.USAGE,
                    "either --operator IP:PORT REQUEST-ID or --logs FILE... REQUEST-ID");
        }
        try (OperatorClient client = new OperatorClient(mOperator, timeoutMillis())) {
            JsonNode answer = OperatorClient.require(client.get("/v1/explain/" + requestId));
            print(out, answer, answer.toPrettyString());
            return ExitCode.OK;
        }
    }

    private ExitCode fromLogs(List<String> files, String requestId, PrintStream out)
            throws ToolException {
        if (files.isEmpty()) {
            throw new ToolException(ExitCode.USAGE, "--logs needs at least one FILE");
        }
        LogFiles logs = LogFiles.create();
        for (String file : files) {
            try {
                logs.read(Path.of(file));
            } catch (IOException e) {
                throw new ToolException(ExitCode.FAILURE, "cannot read " + file + ": " + e);
            }
        }
        RequestStory story = RequestStory.of(requestId, logs);
        print(out, story.json(), story.text());
        return story.found() ? ExitCode.OK : ExitCode.FAILURE;
    }
}
