package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Compares an entry host and the spread of settings with simpler ways in the same run. */
public final class Bench {
    /**
     * Holds one comparison.
     *
     * @param name what was measured, with its unit
     * @param baseline the figure of the simpler way
     * @param ours the figure of redwingladder
     */
    record Line(String name, double baseline, double ours) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT, "%s | %.2f | %.2f | %.3f", name, baseline, ours, ours / baseline);
        }
    }

    private Bench() {}

    /** Prints one line a comparison, as {@code name | baseline | ours | ratio}. */
    public static void main(String[] args) throws Exception {
        Logger.getLogger("").setLevel(Level.WARNING);
        List<Line> lines = new ArrayList<>();
        lines.addAll(BenchThroughput.run());
        lines.addAll(BenchSpread.run());
        System.out.println("name | baseline | ours | ratio");
        lines.forEach(System.out::println);
        System.exit(0);
    }
}
