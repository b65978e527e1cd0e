package org.redwingladder.tool;

import java.io.IOException;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** Holds the options of the commands that talk to an operator listener. */
abstract class OperatorCommand extends Command {
    @Option(
            name = "--operator",
            metaVar = "IP:PORT",
            required = true,
            usage = "operator listener of an entry host")
    private String mOperator = "";

    @Override
    final ExitCode run(PrintStream out) throws ToolException, IOException {
        try (OperatorClient client = new OperatorClient(mOperator, timeoutMillis())) {
            return run(client, out);
        }
    }

    abstract ExitCode run(OperatorClient client, PrintStream out) throws ToolException, IOException;
}
