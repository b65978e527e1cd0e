package org.redwingladder.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the requests that a backend server has started. It keeps the last {@value #MAX_RUNS}
 * runs.
 */
public final class RunJournal {
    /** The maximum number of runs that are kept. */
    public static final int MAX_RUNS = 500_000;

    private final Map<Long, Run> mRuns = new LinkedHashMap<>();
    private long mLastRunNumber;

    /**
     * The execution of a request.
     *
     * @param requestId the value of {@code Redwing-Request-Id}; empty if there was none
     * @param method the request's method
     * @param path the request's path
     * @param startedAt when the request was assigned a slot, in epoch milliseconds
     * @param finishedAt when it released the slot, in epoch milliseconds; 0 while it is running
     * @param end {@code running}, {@code completed} or {@code cancelled}
     */
    public record Run(
            String requestId,
            String method,
            String path,
            long startedAt,
            long finishedAt,
            String end) {}

    /** Records the start of a run and returns its number. */
    synchronized long recordStart(String requestId, String method, String path, long nowMillis) {
        mRuns.put(++mLastRunNumber, new Run(requestId, method, path, nowMillis, 0, "running"));
        if (mRuns.size() > MAX_RUNS) {
            var oldest = mRuns.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return mLastRunNumber;
    }

    /** Records the end of a run. */
    synchronized void recordEnd(long number, String end, long nowMillis) {
        mRuns.computeIfPresent(
                number,
                (n, run) ->
                        new Run(
                                run.requestId(),
                                run.method(),
                                run.path(),
                                run.startedAt(),
                                nowMillis,
                                end));
    }

    /** Returns all runs in the order of their starts. */
    public synchronized List<Run> runs() {
        return new ArrayList<>(mRuns.values());
    }

    /** Returns the runs of one request. */
    public List<Run> runsOf(String requestId) {
        return runs().stream().filter(run -> run.requestId().equals(requestId)).toList();
    }
}
