package org.redwingladder.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;
import org.kohsuke.args4j.Option;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.api.Outcome;
import org.redwingladder.api.Refusal;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.Json;

/** Asks which entry hosts a client should use. */
final class LookupCommand extends ClientCommand {
    @Option(name = "--service", required = true, metaVar = "NAME", usage = "the service")
    private String mService = "";

    @Option(name = "--block", required = true, metaVar = "N", usage = "the client block")
    private int mBlock;

    @Option(name = "--once", usage = "ask for a token for work that must not repeat")
    private boolean mOnce;

    @Override
    String summary() {
        return "Asks which entry hosts a client should use.";
    }

    @Override
    ExitCode run(PrintStream out) throws ToolException, IOException {
        String reason = "no entry host was asked";
        Refusal refusal = null;
        long deadline = deadlineMillis();
        try (AsyncHttpClient caller = newCaller()) {
            HttpTransport transport = new HttpTransport(caller);
            for (String address : entryAddresses()) {
                CompletableFuture<LookupResult> result =
                        transport.lookup(address, mService, mBlock, mOnce, deadline);
                switch (result.join()) {
                    case LookupResult.Found found -> {
                        JsonNode node = Json.mapper().valueToTree(found.answer());
                        print(out, node, text(found.answer()));
                        return ExitCode.OK;
                    }
                    case LookupResult.Refused refused -> {
                        refusal = refused.refusal();
                        reason = refusal.reason().wireName() + ": " + refusal.message();
                    }
                    case LookupResult.Failed failed -> reason = address + ": " + failed.reason();
                }
            }
        }
        boolean refused = refusal != null && refusal.outcome() == Outcome.NOT_RUN;
        throw new ToolException(refused ? ExitCode.REFUSED : ExitCode.FAILURE, reason);
    }

    private static String text(LookupResponse answer) {
        StringBuilder text = new StringBuilder();
        for (EntryHost host : answer.entryHosts()) {
            text.append(
                    String.format("%-20s %-14s %s%n", host.host(), host.zone(), host.address()));
        }
        text.append("expires at ").append(answer.expiresAt());
        text.append(", settings version ").append(answer.settingsVersion());
        if (answer.token() != null) {
            text.append(System.lineSeparator()).append("token ").append(answer.token());
        }
        return text.toString();
    }
}
