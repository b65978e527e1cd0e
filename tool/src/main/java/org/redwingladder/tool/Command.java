package org.redwingladder.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.HttpClientLimits;

/** Holds the options that all commands share. */
abstract class Command {
    @Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
    private boolean mHelp;

    @Option(name = "--output", metaVar = "FORMAT", usage = "text or json")
    private Format mFormat = Format.TEXT;

    @Option(name = "--timeout", metaVar = "MILLIS", usage = "when to give up, in milliseconds")
    private long mTimeoutMillis = 5_000;

    /** Names the forms of the output. */
    enum Format {
        TEXT,
        JSON
    }

    /** Returns one line that says what the command does. */
    abstract String summary();

    /**
     * Carries the command out.
     *
     * @return the exit code
     * @throws ToolException if the command ends early
     */
    abstract ExitCode run(PrintStream out) throws ToolException, IOException;

    boolean help() {
        return mHelp;
    }

    boolean json() {
        return mFormat == Format.JSON;
    }

    long timeoutMillis() {
        return mTimeoutMillis;
    }

    /** Returns when the command gives up, in epoch milliseconds. */
    long deadlineMillis() {
        return System.currentTimeMillis() + mTimeoutMillis;
    }

    /** Prints {@code node} as JSON or {@code text} as it is, as the user asked. */
    void print(PrintStream out, JsonNode node, String text) {
        out.println(json() ? node.toPrettyString() : text);
    }

    static AsyncHttpClient newCaller() throws IOException {
        return AsyncHttpClient.create(1, HttpClientLimits.defaults());
    }
}
