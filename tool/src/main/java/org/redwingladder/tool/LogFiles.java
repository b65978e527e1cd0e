package org.redwingladder.tool;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.redwingladder.http.Json;
import org.redwingladder.http.JsonException;

/** Collects the lines of several logs in the order of their times. */
final class LogFiles {
    private final List<LogLine> mLines = new ArrayList<>();
    private int mBadLines;
    private long mDroppedLines;

    private LogFiles() {}

    static LogFiles create() {
        return new LogFiles();
    }

    /**
     * Reads a file. Lines that are not in the form of the log are counted and passed over.
     *
     * @throws IOException if the file cannot be read
     */
    void read(Path file) throws IOException {
        // A log may hold bytes that are not UTF-8; the lines around them are still of use.
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (!line.isBlank()) {
                    add(line);
                }
            }
        }
        mLines.sort(Comparator.comparingLong(LogLine::timeMillis));
    }

    private void add(String text) {
        JsonNode node;
        try {
            node = Json.tree(text.getBytes(UTF_8));
        } catch (JsonException e) {
            // The caller is told how many lines could not be used.
            mBadLines++;
            return;
        }
        if (!LogLine.wellFormed(node)) {
            mBadLines++;
            return;
        }
        LogLine line = LogLine.of(node);
        if (line.part().equals("log") && line.event().equals("dropped")) {
            mDroppedLines += line.number("lines");
        }
        mLines.add(line);
    }

    List<LogLine> lines() {
        return mLines;
    }

    /** Returns the number of lines that are not in the form of the log. */
    int badLines() {
        return mBadLines;
    }

    /** Returns the number of lines that the hosts could not write. */
    long droppedLines() {
        return mDroppedLines;
    }
}
