package org.redwingladder.entry;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.google.common.flogger.FluentLogger;
import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * A structured log with one JSON object per event and line.
 *
 * <p>Lines are queued and written by a background thread. If the queue is full, lines are dropped
 * and counted, so that logging never blocks a request.
 */
public final class EventLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_QUEUED_LINES = 4096;

    /** Limits the events of requests to about 100 KB a second; more are dropped. */
    private static final int MAX_REQUEST_LINES_PER_SECOND = 400;

    /** Bounds the queued lines, as clients choose some of the values. */
    private static final int MAX_VALUE_CHARACTERS = 512;

    private static final String REQUEST_LINE_PREFIX = "{\"part\":\"request\"";
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final String mHost;

    private EventLog(String host) {
        mHost = host;
    }

    /** Returns a log whose events contain the name of a host. */
    public static EventLog of(String host) {
        return new EventLog(host);
    }

    /** Redirects all log records of the process, also those of libraries, to {@code out}. */
    public static void install(PrintStream out) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        Logger.getLogger("org.redwingladder").setLevel(Level.INFO);
        root.addHandler(new AsyncHandler(out));
    }

    /** Starts an event; {@link Line#write} logs it. */
    public Line event(String part, String event) {
        return new Line(part, event);
    }

    /** Builder of the line of one event. */
    public final class Line {
        private final StringBuilder mText = new StringBuilder(160);

        Line(String part, String event) {
            mText.append("{\"part\":\"").append(part).append("\",\"event\":\"").append(event);
            mText.append("\",\"host\":\"").append(mHost).append("\",\"time\":");
            mText.append(System.currentTimeMillis());
        }

        /** Adds a numeric field. */
        public Line with(String name, long value) {
            mText.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Adds a string field, of which only the first characters are kept if it is long. */
        public Line with(String name, @Nullable Object value) {
            mText.append(",\"").append(name).append("\":\"");
            String text = String.valueOf(value);
            if (text.length() > MAX_VALUE_CHARACTERS) {
                text = text.substring(0, MAX_VALUE_CHARACTERS) + "...";
            }
            JsonStringEncoder.getInstance().quoteAsString(text, mText);
            mText.append('"');
            return this;
        }

        /** Logs the event. */
        public void write() {
            LOG.atInfo().log("%s", mText.append('}'));
        }
    }

    private static final class AsyncHandler extends Handler {
        private final ArrayBlockingQueue<String> mLines =
                new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
        private final AtomicLong mDropped = new AtomicLong();
        private long mWindowEndNanos = System.nanoTime();
        private int mRequestLinesInWindow;

        AsyncHandler(PrintStream out) {
            Thread writer = new Thread(() -> writeLines(out), "log");
            writer.setDaemon(true);
            writer.start();
        }

        private void writeLines(PrintStream out) {
            StringBuilder batch = new StringBuilder();
            try {
                while (true) {
                    batch.append(mLines.take()).append('\n');
                    for (String more = mLines.poll(); more != null; more = mLines.poll()) {
                        batch.append(more).append('\n');
                    }
                    appendDroppedCount(batch);
                    out.print(batch);
                    out.flush();
                    batch.setLength(0);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void appendDroppedCount(StringBuilder batch) {
            long dropped = mDropped.getAndSet(0);
            if (dropped > 0) {
                batch.append("{\"part\":\"log\",\"event\":\"dropped\",\"time\":")
                        .append(System.currentTimeMillis())
                        .append(",\"lines\":")
                        .append(dropped)
                        .append("}\n");
            }
        }

        @Override
        public void publish(LogRecord entry) {
            if (!isLoggable(entry)) {
                return;
            }
            String line = format(entry);
            if ((line.startsWith(REQUEST_LINE_PREFIX) && !tryAcquireRequestLine())
                    || !mLines.offer(line)) {
                mDropped.incrementAndGet();
            }
        }

        private synchronized boolean tryAcquireRequestLine() {
            long now = System.nanoTime();
            if (now - mWindowEndNanos >= 0) {
                mWindowEndNanos = now + SECOND_NANOS;
                mRequestLinesInWindow = 0;
            }
            return ++mRequestLinesInWindow <= MAX_REQUEST_LINES_PER_SECOND;
        }

        private static String format(LogRecord entry) {
            String message = String.valueOf(entry.getMessage());
            if (EventLog.class.getName().equals(entry.getLoggerName())) {
                return message;
            }
            StringBuilder text = new StringBuilder("{\"part\":\"library\",\"event\":\"");
            text.append(entry.getLevel().getName().toLowerCase(Locale.ROOT));
            text.append("\",\"message\":\"");
            JsonStringEncoder.getInstance().quoteAsString(message, text);
            if (entry.getThrown() != null) {
                text.append("\",\"error\":\"");
                JsonStringEncoder.getInstance().quoteAsString(describe(entry.getThrown()), text);
            }
            return text.append("\"}").toString();
        }

        private static String describe(Throwable thrown) {
            StackTraceElement[] trace = thrown.getStackTrace();
            return thrown + (trace.length == 0 ? "" : " at " + trace[0]);
        }

        @Override
        public void flush() {
            // The writer thread flushes after each batch.
        }

        @Override
        public void close() {
            // The writer thread is a daemon thread and ends with the process.
        }
    }
}
