package org.redwingladder.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Computes the peak usage of a cap from the requests executed by the backend servers that it
 * covers.
 */
final class PeakUsage {
    private PeakUsage() {}

    /** Returns the maximum number of starts in any half-open window of {@code windowMillis}. */
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
     * Returns the maximum number of concurrent requests.
     *
     * @param slackMillis subtracted from the end of each request: an owner releases its permit when
     *     it abandons a request, and the backend server detects this slightly later
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
