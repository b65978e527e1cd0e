package org.redwingladder.modelcheck;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs the TLC model checker on a specification of this module in a separate process. */
final class Tlc {
    /** The exit code of TLC when no error was found. */
    static final int NO_ERROR = 0;

    /** The exit code of TLC when an invariant was violated. */
    static final int SAFETY_VIOLATION = 12;

    private static final Path SPECIFICATIONS = Path.of("src", "main", "tla").toAbsolutePath();
    private static final long TIMEOUT_MINUTES = 10;

    /**
     * The result of a TLC run.
     *
     * @param exitCode the exit code of the process; -1 if it timed out
     * @param output the standard output and error
     */
    record Run(int exitCode, String output) {}

    private Tlc() {}

    /** Checks {@code module} with the configuration {@code config}, both without file extension. */
    static Run check(String module, String config) throws IOException, InterruptedException {
        Path work = Files.createTempDirectory("tlc");
        Path output = work.resolve("output.txt");
        try {
            Process process =
                    new ProcessBuilder(command(module, config, work))
                            .directory(SPECIFICATIONS.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(output.toFile())
                            .start();
            boolean exited = process.waitFor(TIMEOUT_MINUTES, TimeUnit.MINUTES);
            if (!exited) {
                process.destroyForcibly().waitFor();
            }
            String text = Files.readString(output, StandardCharsets.UTF_8);
            return new Run(exited ? process.exitValue() : -1, text);
        } finally {
            delete(work);
        }
    }

    private static List<String> command(String module, String config, Path work) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx2g",
                "-XX:+UseParallelGC",
                "-cp",
                System.getProperty("java.class.path"),
                "tlc2.TLC",
                "-workers",
                "4",
                "-metadir",
                work.toString(),
                "-config",
                config + ".cfg",
                module + ".tla");
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
