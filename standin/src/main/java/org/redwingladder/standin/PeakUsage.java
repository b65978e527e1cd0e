package org.redwingladder.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Measures the use of a cap from the runs of the backend servers behind it. */
final class PeakUsage {
    private PeakUsage() {}

    /** Returns the most starts in any half-open window of {@code windowMillis}. */
    static int peakRate(List<RunJournal.Run> runs, long windowMillis) {
        long[] starts = runs.stream().mapToLong(RunJournal.Run::startedAt).sorted().toArray();
        int peak = 0;
        int first = 0;
        for (int i = 0; i < starts.length; i++) {
            while (starts[first] <= starts[i] - windowMillis) {
                first++;
            }
            peak = Math.max(peak, i - first + 1);
        }
        return peak;
    }

    /**
     * Returns the most runs at once.
     *
     * @param slackMillis taken off the end of each run: an owner gives a place back when it gives a
     *     request up, and the backend server learns of it a little later
     */
    static int peakInFlight(List<RunJournal.Run> runs, long slackMillis, long endMillis) {
        record Step(long at, int change) {}
        List<Step> steps = new ArrayList<>();
        for (RunJournal.Run run : runs) {
            long end = run.finishedAt() == 0 ? endMillis : run.finishedAt() - slackMillis;
            if (end > run.startedAt()) {
                steps.add(new Step(run.startedAt(), 1));
                steps.add(new Step(end, -1));
            }
        }
        steps.sort(Comparator.comparingLong(Step::at).thenComparingInt(Step::change));
        int now = 0;
        int peak = 0;
        for (Step step : steps) {
            now += step.change();
            peak = Math.max(peak, now);
        }
        return peak;
    }
}
