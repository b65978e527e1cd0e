package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Collects the lines of the policy bench and remembers which aims were missed. */
final class PolicyTable {
    private static final String NONE = "-";

    private final List<String> mLines = new ArrayList<>();
    private final List<String> mShort = new ArrayList<>();

    /** Adds a line without an aim. */
    void row(String name, double naive, double ours, double oracle, double ratio) {
        print(String.join(" | ", name, text(naive), text(ours), text(oracle), text(ratio)));
    }

    /** Adds a line whose ratio is to be at most {@code aim}. */
    void atMost(String name, double naive, double ours, double oracle, double ratio, double aim) {
        String full = name + " (aim <= " + text(aim) + ")";
        row(full, naive, ours, oracle, ratio);
        note(ratio <= aim, full, ratio);
    }

    /** Adds a line whose ratio is to be at least {@code aim}. */
    void atLeast(String name, double naive, double ours, double oracle, double ratio, double aim) {
        String full = name + " (aim >= " + text(aim) + ")";
        row(full, naive, ours, oracle, ratio);
        note(ratio >= aim, full, ratio);
    }

    private void note(boolean met, String name, double ratio) {
        if (!met) {
            mShort.add(name + ": " + text(ratio));
        }
    }

    private void print(String line) {
        mLines.add(line);
    }

    List<String> lines() {
        return List.copyOf(mLines);
    }

    /** Returns the aims that were missed. */
    List<String> missed() {
        return List.copyOf(mShort);
    }

    private static String text(double value) {
        if (Double.isNaN(value)) {
            return NONE;
        }
        String format = Math.abs(value) >= 100 ? "%.0f" : "%.2f";
        return String.format(Locale.ROOT, format, value);
    }
}
