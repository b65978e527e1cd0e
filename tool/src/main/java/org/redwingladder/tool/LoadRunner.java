package org.redwingladder.tool;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.Json;

/**
 * Sends the requests of a plan when they are due, whether or not earlier ones were answered.
 *
 * <p>Latencies count from the scheduled arrival, so that a stalled system does not hide the
 * requests that it holds up.
 */
final class LoadRunner {
    private final LoadPlan mPlan;
    private final RequestRunner mRunner;
    private final @Nullable Writer mRecords;
    private final Map<String, LoadCounts> mServices = new TreeMap<>();
    private final List<LoadCounts> mStreams = new ArrayList<>();
    private long mLatestStartNanos;

    LoadRunner(LoadPlan plan, RequestRunner runner, @Nullable Writer records) {
        mPlan = plan;
        mRunner = runner;
        mRecords = records;
        plan.services().forEach(service -> mServices.put(service, new LoadCounts()));
        plan.streams().forEach(stream -> mStreams.add(new LoadCounts()));
    }

    /** Runs the plan to its end and returns the report. */
    ObjectNode run() {
        List<CompletableFuture<Void>> results = new ArrayList<>();
        long startNanos = System.nanoTime();
        long startMillis = mRunner.now();
        for (LoadSchedule.Arrival arrival : LoadSchedule.of(mPlan)) {
            long due = startNanos + TimeUnit.MICROSECONDS.toNanos(arrival.atMicros());
            sleepUntil(due);
            mLatestStartNanos = Math.max(mLatestStartNanos, System.nanoTime() - due);
            results.add(send(arrival, due, startMillis));
        }
        CompletableFuture.allOf(results.toArray(new CompletableFuture<?>[0])).join();
        return report(startMillis);
    }

    private CompletableFuture<Void> send(
            LoadSchedule.Arrival arrival, long dueNanos, long startMillis) {
        LoadPlan.Stream stream = mPlan.streams().get(arrival.stream());
        long scheduledAt = startMillis + TimeUnit.MICROSECONDS.toMillis(arrival.atMicros());
        Work work =
                new Work(
                        stream.name() + "-" + arrival.number(),
                        stream.service(),
                        arrival.block(),
                        java.util.Objects.requireNonNull(stream.method()),
                        stream.pathWithQuery(),
                        new byte[stream.requestBytes()],
                        stream.once(),
                        scheduledAt + stream.deadlineMillis(),
                        stream.answerBytes() == null ? -1 : stream.answerBytes());
        return mRunner.run(work)
                .thenAccept(
                        result -> {
                            long micros = (System.nanoTime() - dueNanos) / 1_000;
                            count(arrival.stream(), result, micros);
                            write(LoadReport.record(stream, scheduledAt, result));
                        });
    }

    private void count(int stream, RequestResult result, long micros) {
        mStreams.get(stream).record(result, micros);
        LoadCounts service = mServices.get(mPlan.streams().get(stream).service());
        if (service != null) {
            service.record(result, micros);
        }
    }

    private void write(ObjectNode record) {
        Writer records = mRecords;
        if (records == null) {
            return;
        }
        synchronized (records) {
            try {
                records.write(record + "\n");
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }

    private ObjectNode report(long startMillis) {
        ObjectNode report = Json.mapper().createObjectNode();
        report.put("seed", mPlan.seed());
        report.put("startedAt", startMillis);
        report.put("endedAt", mRunner.now());
        report.put("lookups", mRunner.cache().lookups());
        report.put("latestStartMillis", TimeUnit.NANOSECONDS.toMillis(mLatestStartNanos));
        ObjectNode services = report.putObject("services");
        mServices.forEach((name, counts) -> services.set(name, counts.toJson()));
        ObjectNode streams = report.putObject("streams");
        for (int i = 0; i < mStreams.size(); i++) {
            String name = mPlan.streams().get(i).name();
            streams.set(String.valueOf(name), mStreams.get(i).toJson());
        }
        return report;
    }

    private static void sleepUntil(long nanos) {
        while (true) {
            long left = nanos - System.nanoTime();
            if (left <= 0) {
                return;
            }
            LockSupport.parkNanos(left);
        }
    }
}
