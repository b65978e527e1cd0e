package org.redwingladder.tool;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwingladder.http.Json;

/** Runs the command-line tool {@code redwingladder}. */
public final class ToolMain {
    private static final Map<String, Supplier<Command>> COMMANDS = new LinkedHashMap<>();

    static {
        COMMANDS.put("settings validate", SettingsCommands.Validate::new);
        COMMANDS.put("settings get", SettingsCommands.Read::new);
        COMMANDS.put("settings put", SettingsCommands.Put::new);
        COMMANDS.put("settings history", SettingsCommands.History::new);
        COMMANDS.put("settings check", SettingsCommands.Check::new);
        COMMANDS.put("lookup", LookupCommand::new);
        COMMANDS.put("request", RequestCommand::new);
        COMMANDS.put("status", HostCommands.Status::new);
        COMMANDS.put("explain", ExplainCommand::new);
        COMMANDS.put("drain", HostCommands.Drain::new);
        COMMANDS.put("members", HostCommands.Members::new);
        COMMANDS.put("load", LoadCommand::new);
    }

    private ToolMain() {}

    /** Runs the tool and ends the process with the command's exit code. */
    public static void main(String[] args) {
        // The HTTP library reports its version at level INFO, which is of no use to an operator.
        Logger.getLogger("").setLevel(Level.WARNING);
        System.exit(run(args, System.out, System.err));
    }

    /** Runs the tool and returns its exit code. */
    static int run(String[] args, PrintStream out, PrintStream err) {
        List<String> words = Arrays.asList(args);
        String name = commandName(words);
        Supplier<Command> supplier = COMMANDS.get(name);
        if (supplier == null) {
            boolean help = words.stream().anyMatch(w -> w.equals("--help") || w.equals("-h"));
            printCommands(help ? out : err, words);
            return (help ? ExitCode.OK : ExitCode.USAGE).code();
        }
        Command command = supplier.get();
        CmdLineParser parser = new CmdLineParser(command);
        int used = name.split(" ").length;
        try {
            parser.parseArgument(words.subList(used, words.size()));
        } catch (CmdLineException e) {
            err.println("redwingladder " + name + ": " + e.getMessage());
            printUsage(err, name, supplier.get());
            return ExitCode.USAGE.code();
        }
        if (command.help()) {
            printUsage(out, name, supplier.get());
            return ExitCode.OK.code();
        }
        return run(name, command, out, err);
    }

    private static int run(String name, Command command, PrintStream out, PrintStream err) {
        try {
            return command.run(out).code();
        } catch (ToolException e) {
            err.println("redwingladder " + name + ": " + e.getMessage());
            if (command.json()) {
                out.println(errorNode(e).toPrettyString());
            }
            return e.exitCode().code();
        } catch (IOException | RuntimeException e) {
            err.println("redwingladder " + name + ": " + e);
            return ExitCode.FAILURE.code();
        }
    }

    private static ObjectNode errorNode(ToolException e) {
        ObjectNode node = Json.mapper().createObjectNode();
        node.put("message", e.getMessage());
        node.put("exitCode", e.exitCode().code());
        if (e.details() != null) {
            node.set("details", e.details());
        }
        return node;
    }

    /** Returns the command that {@code words} start with; some have two words. */
    private static String commandName(List<String> words) {
        if (words.size() > 1 && COMMANDS.containsKey(words.get(0) + " " + words.get(1))) {
            return words.get(0) + " " + words.get(1);
        }
        return words.isEmpty() ? "" : words.get(0);
    }

    private static void printCommands(PrintStream stream, List<String> words) {
        if (!words.isEmpty() && !words.get(0).startsWith("-")) {
            stream.println("redwingladder: no command " + String.join(" ", words));
        }
        stream.println("usage: redwingladder COMMAND [OPTION...]; COMMAND --help tells more");
        COMMANDS.forEach(
                (name, supplier) -> stream.printf("  %-18s %s%n", name, supplier.get().summary()));
    }

    /** Prints the options of an unparsed command, so that defaults are not the parsed values. */
    private static void printUsage(PrintStream stream, String name, Command command) {
        CmdLineParser parser = new CmdLineParser(command);
        stream.println(command.summary());
        StringBuilder line = new StringBuilder("usage: redwingladder ").append(name);
        parser.getArguments().forEach(a -> line.append(' ').append(a.option.metaVar()));
        stream.println(line.append(" [OPTION...]"));
        parser.printUsage(stream);
        stream.println(
                "exit codes: 0 ok, 1 failure, 2 usage, 3 conflict, 4 outcome unknown,"
                        + " 5 refused (not run)");
    }
}
