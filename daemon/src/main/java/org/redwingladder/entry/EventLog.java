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
 * Writes one JSON object for each event.
 *
 * <p>A thread of its own does the writing. When it cannot keep up lines are dropped and counted, so
 * that logging never delays a request.
 */
public final class EventLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_QUEUED_LINES = 4096;

    /** Lines on requests that a host writes in a second, about 100 KB; more are dropped. */
    private static final int MAX_REQUEST_LINES = 400;

    private static final String REQUEST_LINE = "{\"part\":\"request\"";
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final String mHost;

    private EventLog(String host) {
        mHost = host;
    }

    /** Returns a log whose lines name a host. */
    public static EventLog of(String host) {
        return new EventLog(host);
    }

    /** Sends all log records of the process to {@code out}. */
    public static void install(PrintStream out) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        Logger.getLogger("org.redwingladder").setLevel(Level.INFO);
        root.addHandler(new QueueHandler(out));
    }

    /** Starts a line. */
    public Line event(String part, String event) {
        return new Line(part, event);
    }

    /** Collects the fields of a line. */
    public final class Line {
        private final StringBuilder mText = new StringBuilder(160);

        Line(String part, String event) {
            mText.append("{\"part\":\"").append(part).append("\",\"event\":\"").append(event);
            mText.append("\",\"host\":\"").append(mHost).append("\",\"time\":");
            mText.append(System.currentTimeMillis());
        }

        /** Adds a number. */
        public Line with(String name, long value) {
            mText.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Adds a text. */
        public Line with(String name, @Nullable Object value) {
            mText.append(",\"").append(name).append("\":\"");
            JsonStringEncoder.getInstance().quoteAsString(String.valueOf(value), mText);
            mText.append('"');
            return this;
        }

        /** Writes the line. */
        public void write() {
            LOG.atInfo().log("%s", mText.append('}'));
        }
    }

    private static final class QueueHandler extends Handler {
        private final ArrayBlockingQueue<String> mLines =
                new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
        private final AtomicLong mDropped = new AtomicLong();
        private long mSecondEndNanos = System.nanoTime();
        private int mRequestLines;

        QueueHandler(PrintStream out) {
            Thread writer = new Thread(() -> drain(out), "log");
            writer.setDaemon(true);
            writer.start();
        }

        private void drain(PrintStream out) {
            StringBuilder batch = new StringBuilder();
            try {
                while (true) {
                    batch.append(mLines.take()).append('\n');
                    for (String more = mLines.poll(); more != null; more = mLines.poll()) {
                        batch.append(more).append('\n');
                    }
                    appendDropped(batch);
                    out.print(batch);
                    out.flush();
                    batch.setLength(0);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void appendDropped(StringBuilder batch) {
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
            String line = line(entry);
            if ((line.startsWith(REQUEST_LINE) && !mayWriteRequestLine()) || !mLines.offer(line)) {
                mDropped.incrementAndGet();
            }
        }

        private synchronized boolean mayWriteRequestLine() {
            long now = System.nanoTime();
            if (now - mSecondEndNanos >= 0) {
                mSecondEndNanos = now + SECOND_NANOS;
                mRequestLines = 0;
            }
            return ++mRequestLines <= MAX_REQUEST_LINES;
        }

        private static String line(LogRecord entry) {
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
            // Lines are flushed by the writing thread.
        }

        @Override
        public void close() {
            // The writing thread ends with the process.
        }
    }
}
