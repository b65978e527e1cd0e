package org.redwingladder.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the demo; its output is written to a log file. */
final class DemoProcess {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final String mName;
    private final Path mLog;
    private final Process mProcess;

    /**
     * Starts a process.
     *
     * @throws IOException if it cannot be started
     */
    DemoProcess(String name, Path directory, List<String> command) throws IOException {
        mName = name;
        mLog = directory.resolve(name + ".log");
        mProcess =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(mLog.toFile())
                        .start();
    }

    String name() {
        return mName;
    }

    long pid() {
        return mProcess.pid();
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Sends SIGTERM to the process. */
    void terminate() {
        mProcess.destroy();
    }

    /** Sends SIGKILL to the process. */
    void kill() {
        mProcess.destroyForcibly();
    }

    /**
     * Waits up to {@code waitMillis} for the process to exit and returns the exit code; empty if it
     * is still running.
     */
    Optional<Integer> exitCode(long waitMillis) throws InterruptedException {
        return mProcess.waitFor(waitMillis, TimeUnit.MILLISECONDS)
                ? Optional.of(mProcess.exitValue())
                : Optional.empty();
    }

    String output() throws IOException {
        return Files.readString(mLog);
    }

    /**
     * Waits until a line of the output matches {@code pattern}.
     *
     * @return the first group of {@code pattern}
     * @throws DemoException if the process exits or {@code waitMillis} elapse first
     */
    String awaitLine(Pattern pattern, long waitMillis)
            throws IOException, InterruptedException, DemoException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (true) {
            boolean alive = isAlive();
            Matcher matcher = pattern.matcher(output());
            if (matcher.find()) {
                return matcher.group(1);
            }
            if (!alive) {
                throw new DemoException(mName + " exited with code " + mProcess.exitValue());
            }
            if (System.nanoTime() > deadline) {
                throw new DemoException(mName + " is not ready after " + waitMillis + " ms");
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
