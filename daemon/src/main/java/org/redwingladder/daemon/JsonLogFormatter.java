package org.redwingladder.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.redwingladder.http.Json;

/** Formats each log record as a JSON object on one line, without stack traces. */
final class JsonLogFormatter extends Formatter {
    // Libraries log only start-up details below WARNING. The list keeps strong references, because
    // the log manager loses the level of a logger that is garbage collected.
    private static final List<Logger> LIBRARY_LOGGERS =
            List.of(
                    Logger.getLogger("org.xnio"),
                    Logger.getLogger("io.undertow"),
                    Logger.getLogger("org.jboss"));

    /** Replaces all log handlers of the process by one that writes to {@code out}. */
    static void install(PrintStream out) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.INFO);
        JsonLogFormatter formatter = new JsonLogFormatter();
        root.addHandler(
                new Handler() {
                    @Override
                    public void publish(LogRecord entry) {
                        if (isLoggable(entry)) {
                            out.print(formatter.format(entry));
                        }
                    }

                    @Override
                    public void flush() {
                        out.flush();
                    }

                    @Override
                    public void close() {
                        flush();
                    }
                });
        LIBRARY_LOGGERS.forEach(library -> library.setLevel(Level.WARNING));
    }

    @Override
    public String format(LogRecord entry) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", entry.getMillis());
        line.put("level", entry.getLevel().getName().toLowerCase(Locale.ROOT));
        line.put("message", formatMessage(entry));
        if (entry.getThrown() != null) {
            line.put("error", String.valueOf(entry.getThrown()));
        }
        try {
            return Json.mapper().writeValueAsString(line) + "\n";
        } catch (JsonProcessingException e) {
            return "{\"level\":\"severe\",\"message\":\"a log record could not be written\"}\n";
        }
    }
}
