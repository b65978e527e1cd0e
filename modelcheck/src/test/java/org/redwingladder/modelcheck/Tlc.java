package org.redwingladder.modelcheck;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs the TLC model checker on a specification of this module in a process of its own. */
final class Tlc {
    /** The exit code of TLC when no error was found. */
    static final int NO_ERROR = 0;

    /** The exit code of TLC when an invariant was violated. */
    static final int SAFETY_VIOLATION = 12;

    private static final Path SPECIFICATIONS = Path.of("src", "main", "tla").toAbsolutePath();
    private static final long LIMIT_MINUTES = 10;

    /**
     * Holds what a run of TLC printed.
     *
     * @param exitCode the exit code of the process
     * @param output the standard output
     */
    record Run(int exitCode, String output) {}

    private Tlc() {}

    /** Checks {@code module} under the configuration {@code config}, both without file ending. */
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
            boolean ended = process.waitFor(LIMIT_MINUTES, TimeUnit.MINUTES);
            if (!ended) {
                process.destroyForcibly().waitFor();
            }
            String text = Files.readString(output, StandardCharsets.UTF_8);
            return new Run(ended ? process.exitValue() : -1, text);
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
