package org.redwingladder.tool;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.redwingladder.http.Addresses;

/** Holds the options of the commands that talk to client listeners. */
abstract class ClientCommand extends Command {
    @Option(
            name = "--entry",
            metaVar = "IP:PORT,...",
            required = true,
            usage = "client listeners of entry hosts, asked in this order")
    private String mEntry = "";

    List<String> entryAddresses() throws ToolException {
        List<String> addresses = new ArrayList<>();
        for (String part : mEntry.split(",")) {
            try {
                Addresses.parse(part.strip());
            } catch (IllegalArgumentException e) {
                throw new ToolException(ExitCode.USAGE, "--entry: " + e.getMessage());
            }
            addresses.add(part.strip());
        }
        return addresses;
    }

    /** Returns the bytes of a file, or of the standard input for {@code -}. */
    static byte[] readFile(String name) throws ToolException {
        try {
            return name.equals("-")
                    ? System.in.readAllBytes()
                    : java.nio.file.Files.readAllBytes(java.nio.file.Path.of(name));
        } catch (IOException e) {
            throw new ToolException(ExitCode.FAILURE, "cannot read " + name);
        }
    }
}
