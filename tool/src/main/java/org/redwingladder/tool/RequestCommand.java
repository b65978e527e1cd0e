package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.Json;

/** Sends one request as a client does. */
final class RequestCommand extends ClientCommand {
    @Option(name = "--service", required = true, metaVar = "NAME", usage = "the service")
    private String mService = "";

    @Option(name = "--block", required = true, metaVar = "N", usage = "the client block")
    private int mBlock;

    @Option(name = "--method", metaVar = "METHOD", usage = "the HTTP method")
    private String mMethod = "GET";

    @Option(name = "--data", metaVar = "TEXT", usage = "the request body")
    private @Nullable String mData;

    @Option(name = "--body", metaVar = "FILE", usage = "file with the request body; - for stdin")
    private @Nullable String mBody;

    @Option(name = "--once", usage = "use a token, so that the work runs at most once")
    private boolean mOnce;

    @Option(name = "--attempts", metaVar = "N", usage = "most attempts")
    private int mAttempts = 4;

    @Option(name = "--request-id", metaVar = "ID", usage = "name of the work; default: random")
    private @Nullable String mRequestId;

    @Argument(metaVar = "PATH", required = true, usage = "path below the service, with its query")
    private String mPath = "";

    @Override
    String summary() {
        return "Sends one request and follows look-up answers and refusals as a client does.";
    }

    @Override
    ExitCode run(PrintStream out) throws ToolException, IOException {
        Work work =
                new Work(
                        mRequestId == null ? "tool-" + UUID.randomUUID() : mRequestId,
                        mService,
                        mBlock,
                        mMethod,
                        mPath.startsWith("/") ? mPath : "/" + mPath,
                        body(),
                        mOnce,
                        deadlineMillis(),
                        -1);
        try (AsyncHttpClient caller = newCaller()) {
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
                            mAttempts);
            return report(runner.run(work).join(), out);
        }
    }

    private byte[] body() throws ToolException {
        if (mData != null && mBody != null) {
            throw new ToolException(ExitCode.USAGE, "--data and --body exclude each other");
        }
        if (mData != null) {
            return mData.getBytes(UTF_8);
        }
        return mBody == null ? new byte[0] : readFile(mBody);
    }

    private ExitCode report(RequestResult result, PrintStream out) throws ToolException {
        ObjectNode node = describe(result);
        if (result.end() != RequestResult.End.ANSWERED) {
            boolean refused = result.end() == RequestResult.End.REFUSED;
            throw new ToolException(
                    refused ? ExitCode.REFUSED : ExitCode.UNKNOWN,
                    result.message() + (refused ? " (not run)" : " (outcome unknown)"),
                    node);
        }
        AttemptResult last = result.attempts().get(result.attempts().size() - 1).result();
        AttemptResult.Whole whole = (AttemptResult.Whole) last;
        if (json()) {
            out.println(node.toPrettyString());
        } else {
            out.write(whole.body(), 0, whole.body().length);
            out.println();
        }
        return whole.status() / 100 == 2 ? ExitCode.OK : ExitCode.FAILURE;
    }

    private static ObjectNode describe(RequestResult result) {
        ObjectNode node = Json.mapper().createObjectNode();
        node.put("requestId", result.work().id());
        node.put("end", result.end().name().toLowerCase(java.util.Locale.ROOT));
        node.put("message", result.message());
        ArrayNode attempts = node.putArray("attempts");
        for (RequestResult.Attempt attempt : result.attempts()) {
            ObjectNode each = attempts.addObject();
            each.put("requestId", attempt.requestId());
            each.put("address", attempt.address());
            each.put("sentAt", attempt.sentAt());
            each.put("endedAt", attempt.endedAt());
            each.put("result", attempt.result().reason());
            if (attempt.result() instanceof AttemptResult.Whole whole) {
                node.put("status", whole.status());
                node.put("backend", whole.backend());
                node.put("body", new String(whole.body(), UTF_8));
            }
        }
        return node;
    }
}
