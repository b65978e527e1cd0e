package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.HttpClientLimits;
import org.redwingladder.http.Json;

/** Sends a load and reports what became of it. */
final class LoadCommand extends ClientCommand {
    @Option(name = "--records", metaVar = "FILE", usage = "write one JSON line for each request")
    private @Nullable String mRecords;

    @Option(name = "--connections", metaVar = "N", usage = "most connections to one entry host")
    private int mConnections = 2_000;

    @Argument(metaVar = "PLAN", required = true, usage = "JSON file, see docs/load.md")
    private String mPlan = "";

    @Override
    String summary() {
        return "Sends requests at fixed times, as many clients would, and reports the results.";
    }

    @Override
    ExitCode run(PrintStream out) throws ToolException, IOException {
        LoadPlan plan = readPlan();
        try (AsyncHttpClient caller =
                AsyncHttpClient.create(2, new HttpClientLimits(mConnections, 10_000))) {
            HttpTransport transport = new HttpTransport(caller);
            LookupCache cache =
                    new LookupCache(transport, entryAddresses(), System::currentTimeMillis);
            RequestRunner runner =
                    new RequestRunner(
                            transport,
                            cache,
                            System::currentTimeMillis,
                            millis ->
                                    CompletableFuture.delayedExecutor(
                                            millis, TimeUnit.MILLISECONDS),
                            plan.maxAttempts());
            ObjectNode report;
            if (mRecords == null) {
                report = new LoadRunner(plan, runner, null).run();
            } else {
                try (Writer records = Files.newBufferedWriter(Path.of(mRecords), UTF_8)) {
                    report = new LoadRunner(plan, runner, records).run();
                }
            }
            print(out, report, LoadReport.text(report));
            return ExitCode.OK;
        }
    }

    private LoadPlan readPlan() throws ToolException {
        try {
            return Json.mapper()
                    .readerFor(LoadPlan.class)
                    .with(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .readValue(readFile(mPlan));
        } catch (JsonProcessingException e) {
            String message =
                    e.getCause() instanceof IllegalArgumentException cause
                            ? cause.getMessage()
                            : e.getOriginalMessage();
            throw new ToolException(ExitCode.USAGE, mPlan + ": " + message);
        } catch (IOException e) {
            throw new ToolException(ExitCode.FAILURE, "cannot read " + mPlan);
        }
    }
}
