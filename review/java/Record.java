package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each event, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintStream mOut;
    private final long mStart = System.nanoTime();

    Record(Path folder) throws IOException {
        mOut = new PrintStream(folder.resolve("record.txt").toFile(), "UTF-8");
    }

    double seconds() {
        return (System.nanoTime() - mStart) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        mOut.printf(
                Locale.ROOT,
                "%8.3f %s%n",
                seconds(),
                values.length == 0 ? format : String.format(Locale.ROOT, format, values));
        mOut.flush();
    }

    @Override
    public void close() {
        mOut.close();
    }
}
