package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Verifies the guarantees by comparing the responses that the load client received with the
 * requests that the backend servers executed.
 */
final class DemoGuaranteeChecks {
    /**
     * The window for measuring request rates. Owners enforce the rate in windows of one second at
     * the time of sending; a shorter window tolerates varying latency to the backend server.
     */
    private static final long RATE_WINDOW_MILLIS = 900;

    private static final long RELEASE_SLACK_MILLIS = 50;

    /** An instant that is never reached; adding to it does not overflow. */
    private static final long NEVER = Long.MAX_VALUE / 2;

    /** How long before the deadline an entry host may abandon a request. */
    private static final long DEADLINE_TOLERANCE_MILLIS = 100;

    private static final long DRAIN_LIMIT_MILLIS = 5_000;
    private static final long PROPAGATION_LIMIT_MILLIS = 15_000;

    private final DemoDeployment mDeployment;
    private final DemoObservations mObservations;
    private final List<Check> mResults = new ArrayList<>();

    /**
     * The result of verifying one guarantee.
     *
     * @param number the guarantee's number
     * @param held whether it held
     * @param text a description of the observations
     */
    record Check(int number, boolean held, String text) {}

    /**
     * The peak usage of a cap.
     *
     * @param cap the cap
     * @param rate the maximum number of requests started within one second
     * @param inFlight the maximum number of concurrent requests
     */
    record CapUsage(DemoDeployment.Cap cap, int rate, int inFlight) {}

    DemoGuaranteeChecks(DemoDeployment deployment, DemoObservations observations) {
        mDeployment = deployment;
        mObservations = observations;
    }

    List<Check> run() {
        checkCaps();
        checkOverload();
        checkResponses();
        checkNotRun();
        checkAtMostOnce();
        checkDrain();
        checkGracefulShutdown();
        checkSettingsPropagation();
        return mResults;
    }

    /** Returns the peak usage of each cap over the whole scenario. */
    List<CapUsage> capUsage() {
        List<CapUsage> capUsage = new ArrayList<>();
        for (DemoDeployment.Cap cap : mDeployment.regionCaps()) {
            List<RunJournal.Run> runs = runsUnderCap(cap, 0);
            capUsage.add(
                    new CapUsage(
                            cap,
                            PeakUsage.peakRate(runs, 1_000),
                            PeakUsage.peakInFlight(runs, RELEASE_SLACK_MILLIS, Long.MAX_VALUE)));
        }
        return capUsage;
    }

    private void checkCaps() {
        List<String> violations = new ArrayList<>();
        for (DemoDeployment.Cap cap : mDeployment.regionCaps()) {
            List<RunJournal.Run> runs = runsUnderCap(cap, 0);
            int rate = PeakUsage.peakRate(runs, RATE_WINDOW_MILLIS);
            int inFlight = PeakUsage.peakInFlight(runs, RELEASE_SLACK_MILLIS, Long.MAX_VALUE);
            if (cap.requestsPerSecond() >= 0 && rate > cap.requestsPerSecond()) {
                violations.add(cap.name() + " carried " + rate + " requests per second");
            }
            if (cap.inFlight() >= 0 && inFlight > cap.inFlight()) {
                violations.add(cap.name() + " had " + inFlight + " requests in flight");
            }
        }
        long activeAt = activeOnAllHostsAt(mObservations.mCapVersion);
        int lowered = 0;
        for (DemoDeployment.Cap cap : mDeployment.regionCaps()) {
            if (cap.name().equals(mObservations.mLoweredCap)) {
                // After another second no window overlaps the time before the change.
                lowered =
                        PeakUsage.peakRate(runsUnderCap(cap, activeAt + 1_000), RATE_WINDOW_MILLIS);
            }
        }
        if (lowered > mObservations.mLoweredRate) {
            violations.add(
                    mObservations.mLoweredCap
                            + " carried "
                            + lowered
                            + " requests per second after it was lowered");
        }
        addResult(
                1,
                violations,
                "no cap exceeded; %s, lowered to %d requests per second, carried at most %d"
                        .formatted(mObservations.mLoweredCap, mObservations.mLoweredRate, lowered));
    }

    private void checkOverload() {
        List<String> violations = new ArrayList<>();
        int slots = 0;
        int peak = 0;
        for (DemoDeployment.Server server : mDeployment.servers()) {
            BackendStats stats = mObservations.mStats.get(server.name());
            slots += server.slots();
            if (stats != null && stats.shed() > 0) {
                violations.add(server.name() + " shed " + stats.shed() + " requests");
            }
        }
        List<RunJournal.Run> all = new ArrayList<>();
        mObservations.mRuns.values().forEach(all::addAll);
        peak = PeakUsage.peakInFlight(all, 0, Long.MAX_VALUE);
        addResult(
                2,
                violations,
                "no backend server shed requests; at most %d of %d slots in use"
                        .formatted(peak, slots));
    }

    private void checkResponses() {
        List<String> violations = new ArrayList<>();
        int complete = 0;
        for (JsonNode record : mObservations.mRecords) {
            for (JsonNode attempt : record.path("attempts")) {
                String kind = attempt.path("kind").asText();
                complete += kind.equals("whole") ? 1 : 0;
                if (kind.equals("wrong")) {
                    violations.add(
                            attempt.path("requestId").asText() + " received a wrong response");
                }
            }
        }
        addResult(3, violations, complete + " responses, each complete and to its own request");
    }

    private void checkNotRun() {
        Set<String> ran = new HashSet<>();
        mObservations.mRuns.values().forEach(runs -> runs.forEach(run -> ran.add(run.requestId())));
        List<String> violations = new ArrayList<>();
        int refusals = 0;
        for (JsonNode record : mObservations.mRecords) {
            for (JsonNode attempt : record.path("attempts")) {
                String kind = attempt.path("kind").asText();
                String id = attempt.path("requestId").asText();
                if (kind.equals("not-run") || kind.equals("never-sent")) {
                    refusals++;
                    if (ran.contains(id)) {
                        violations.add(
                                id + " (" + attempt.path("reason").asText() + ") was executed");
                    }
                }
            }
        }
        addResult(
                4,
                violations,
                refusals + " refusals and failed connections; none of these requests was executed");
    }

    private void checkAtMostOnce() {
        Map<String, Integer> runs = new HashMap<>();
        for (List<RunJournal.Run> each : mObservations.mRuns.values()) {
            for (RunJournal.Run run : each) {
                int dot = run.requestId().lastIndexOf('.');
                if (dot > 0) {
                    runs.merge(run.requestId().substring(0, dot), 1, Integer::sum);
                }
            }
        }
        List<String> violations = new ArrayList<>();
        int requests = 0;
        int ran = 0;
        for (JsonNode record : mObservations.mRecords) {
            if (record.path("once").asBoolean()) {
                requests++;
                int count = runs.getOrDefault(record.path("id").asText(), 0);
                ran += count;
                boolean answered = record.path("end").asText().equals("answered");
                if (count > 1 || answered && count == 0) {
                    violations.add(record.path("id").asText() + " ran " + count + " times");
                }
            }
        }
        addResult(
                5,
                violations,
                requests + " at-most-once requests: " + ran + " executions, none twice");
    }

    private void checkDrain() {
        long last = 0;
        for (RunJournal.Run run :
                mObservations.mRuns.getOrDefault(mObservations.mDrainedServer, List.of())) {
            last = Math.max(last, run.startedAt());
        }
        List<String> violations = new ArrayList<>();
        if (last > mObservations.mDrainAcceptedAt + DRAIN_LIMIT_MILLIS) {
            violations.add(
                    "%s received a request %d ms after its drain"
                            .formatted(
                                    mObservations.mDrainedServer,
                                    last - mObservations.mDrainAcceptedAt));
        }
        addResult(
                6,
                violations,
                "%s received its last request %d ms after its drain was accepted"
                        .formatted(
                                mObservations.mDrainedServer,
                                Math.max(0, last - mObservations.mDrainAcceptedAt)));
    }

    private void checkGracefulShutdown() {
        List<String> violations = new ArrayList<>();
        Integer exit = mObservations.mShutdownExitCode;
        if (exit == null || exit != 0) {
            violations.add(
                    "the stopped entry host "
                            + (exit == null ? "is still running" : "exited with code " + exit));
        }
        int served = 0;
        for (JsonNode record : mObservations.mRecords) {
            for (JsonNode attempt : record.path("attempts")) {
                long ended = attempt.path("endedAt").asLong();
                boolean duringShutdown =
                        ended >= mObservations.mShutdownStartedAt
                                && ended <= mObservations.mShutdownEndedAt + 1_000;
                boolean atStoppedHost =
                        attempt.path("address").asText().equals(mObservations.mStoppedHostAddress);
                String kind = attempt.path("kind").asText();
                String reason = attempt.path("reason").asText();
                boolean connectionLost = atStoppedHost && reason.equals("lost-cut-off");
                // A request that the entry host abandons at its deadline is late, not dropped.
                boolean late =
                        ended >= record.path("deadlineAt").asLong() - DEADLINE_TOLERANCE_MILLIS;
                boolean peerLost = kind.equals("unknown") && reason.equals("peer-lost") && !late;
                served += duringShutdown && atStoppedHost && kind.equals("whole") ? 1 : 0;
                if (duringShutdown && (connectionLost || peerLost)) {
                    violations.add(attempt.path("requestId").asText() + " was dropped");
                }
            }
        }
        addResult(
                7,
                violations,
                "graceful shutdown took %d ms, exit code 0, %d requests completed, none dropped"
                        .formatted(
                                mObservations.mShutdownEndedAt - mObservations.mShutdownStartedAt,
                                served));
    }

    private void checkSettingsPropagation() {
        List<String> violations = new ArrayList<>();
        mObservations.mStatusSamples.forEach(
                (host, samples) -> {
                    for (int i = 1; i < samples.size(); i++) {
                        if (samples.get(i).version() < samples.get(i - 1).version()) {
                            violations.add(
                                    host + " reverted to version " + samples.get(i).version());
                        }
                    }
                });
        long drain =
                activeOnAllHostsAt(mObservations.mDrainVersion) - mObservations.mDrainAcceptedAt;
        long cap = activeOnAllHostsAt(mObservations.mCapVersion) - mObservations.mCapAcceptedAt;
        if (Math.max(drain, cap) > PROPAGATION_LIMIT_MILLIS) {
            violations.add(
                    "a version was not active on all hosts within "
                            + PROPAGATION_LIMIT_MILLIS
                            + " ms");
        }
        addResult(
                8,
                violations,
                "versions %d and %d active on all hosts %d and %d ms after acceptance"
                        .formatted(
                                mObservations.mDrainVersion,
                                mObservations.mCapVersion,
                                Math.max(0, drain),
                                Math.max(0, cap)));
    }

    /**
     * Returns when all running hosts had first reported at least {@code version}, in epoch
     * milliseconds.
     */
    private long activeOnAllHostsAt(long version) {
        long last = 0;
        for (String host : mObservations.mRunningHosts) {
            long first = NEVER;
            for (DemoStatusSampler.Sample sample :
                    mObservations.mStatusSamples.getOrDefault(host, List.of())) {
                if (sample.version() >= version) {
                    first = Math.min(first, sample.at());
                }
            }
            last = Math.max(last, first);
        }
        return last;
    }

    private List<RunJournal.Run> runsUnderCap(DemoDeployment.Cap cap, long from) {
        List<RunJournal.Run> runs = new ArrayList<>();
        for (DemoDeployment.Server server : mDeployment.servers()) {
            if (server.service().equals(cap.service()) && server.region().equals(cap.region())) {
                for (RunJournal.Run run :
                        mObservations.mRuns.getOrDefault(server.name(), List.of())) {
                    if (run.startedAt() >= from) {
                        runs.add(run);
                    }
                }
            }
        }
        return runs;
    }

    private void addResult(int number, List<String> violations, String held) {
        String text = violations.isEmpty() ? held : String.join("; ", abbreviate(violations));
        mResults.add(new Check(number, violations.isEmpty(), text));
    }

    private static List<String> abbreviate(List<String> violations) {
        return violations.size() <= 3
                ? violations
                : List.of(
                        violations.get(0),
                        violations.get(1),
                        violations.get(2),
                        "and " + (violations.size() - 3) + " more");
    }
}
