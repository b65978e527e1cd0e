import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) {
        try {
            mOut = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the milliseconds since the start. */
    long now() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        mOut.printf(Locale.ROOT, "%7d  %s%n", now(), String.format(Locale.ROOT, format, arguments));
    }

    /** Writes a line to the record and to the standard output. */
    synchronized void tell(String format, Object... arguments) {
        line(format, arguments);
        System.out.printf(Locale.ROOT, "%7d  %s%n", now(), String.format(format, arguments));
        mOut.flush();
    }

    synchronized void close() {
        mOut.close();
    }
}
