package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Compares what the load client was told with what the backend servers did. */
final class DemoChecks {
    /**
     * The window in which starts are counted against a rate, in milliseconds. The owners keep the
     * rate in windows of a second at the moment of sending; the time to the backend server varies.
     */
    private static final long RATE_WINDOW_MILLIS = 900;

    private static final long SLACK_MILLIS = 50;

    /** Stands for a time that does not come; sums with it do not overflow. */
    private static final long NEVER = Long.MAX_VALUE / 2;

    /** How long before its deadline a late request may be given up by an entry host. */
    private static final long LATE_MILLIS = 100;

    private static final long DRAIN_MILLIS = 5_000;
    private static final long SPREAD_MILLIS = 15_000;

    private final DemoSample mSample;
    private final DemoFacts mFacts;
    private final List<Check> mChecks = new ArrayList<>();

    /**
     * Tells whether a guarantee held.
     *
     * @param number the guarantee's number
     * @param held whether it held
     * @param text what was seen
     */
    record Check(int number, boolean held, String text) {}

    /**
     * Tells how much of a cap was used.
     *
     * @param cap the cap
     * @param rate the most starts in a window of a second
     * @param inFlight the most runs at once
     */
    record Use(DemoSample.Cap cap, int rate, int inFlight) {}

    DemoChecks(DemoSample sample, DemoFacts facts) {
        mSample = sample;
        mFacts = facts;
    }

    List<Check> run() {
        checkCaps();
        checkLoad();
        checkAnswers();
        checkNotRun();
        checkOnce();
        checkDrain();
        checkStop();
        checkSettings();
        return mChecks;
    }

    /** Returns the use of each cap over the whole run. */
    List<Use> uses() {
        List<Use> uses = new ArrayList<>();
        for (DemoSample.Cap cap : mSample.regionCaps()) {
            List<RunJournal.Run> runs = runsBehind(cap, 0);
            uses.add(
                    new Use(
                            cap,
                            DemoUse.highestRate(runs, 1_000),
                            DemoUse.highestInFlight(runs, SLACK_MILLIS, Long.MAX_VALUE)));
        }
        return uses;
    }

    private void checkCaps() {
        List<String> broken = new ArrayList<>();
        for (DemoSample.Cap cap : mSample.regionCaps()) {
            List<RunJournal.Run> runs = runsBehind(cap, 0);
            int rate = DemoUse.highestRate(runs, RATE_WINDOW_MILLIS);
            int inFlight = DemoUse.highestInFlight(runs, SLACK_MILLIS, Long.MAX_VALUE);
            if (cap.requestsPerSecond() >= 0 && rate > cap.requestsPerSecond()) {
                broken.add(cap.name() + " carried " + rate + " a second");
            }
            if (cap.inFlight() >= 0 && inFlight > cap.inFlight()) {
                broken.add(cap.name() + " held " + inFlight + " in flight");
            }
        }
        long inForce = inForceAt(mFacts.mCapVersion);
        int lowered = 0;
        for (DemoSample.Cap cap : mSample.regionCaps()) {
            if (cap.name().equals(mFacts.mLoweredCap)) {
                // A second later no window reaches back to the time before.
                lowered = DemoUse.highestRate(runsBehind(cap, inForce + 1_000), RATE_WINDOW_MILLIS);
            }
        }
        if (lowered > mFacts.mLoweredRate) {
            broken.add(mFacts.mLoweredCap + " carried " + lowered + " a second once lowered");
        }
        add(
                1,
                broken,
                "no cap exceeded; %s lowered to %d a second carried at most %d"
                        .formatted(mFacts.mLoweredCap, mFacts.mLoweredRate, lowered));
    }

    private void checkLoad() {
        List<String> broken = new ArrayList<>();
        int slots = 0;
        int highest = 0;
        for (DemoSample.Server server : mSample.servers()) {
            BackendStats stats = mFacts.mStats.get(server.name());
            slots += server.slots();
            if (stats != null && stats.shed() > 0) {
                broken.add(server.name() + " had no room for " + stats.shed() + " requests");
            }
        }
        List<RunJournal.Run> all = new ArrayList<>();
        mFacts.mRuns.values().forEach(all::addAll);
        highest = DemoUse.highestInFlight(all, 0, Long.MAX_VALUE);
        add(
                2,
                broken,
                "every backend server had room for what came; at most %d of %d slots in use"
                        .formatted(highest, slots));
    }

    private void checkAnswers() {
        List<String> broken = new ArrayList<>();
        int whole = 0;
        for (JsonNode record : mFacts.mRecords) {
            for (JsonNode attempt : record.path("attempts")) {
                String kind = attempt.path("kind").asText();
                whole += kind.equals("whole") ? 1 : 0;
                if (kind.equals("wrong")) {
                    broken.add(attempt.path("requestId").asText() + " got a wrong answer");
                }
            }
        }
        add(3, broken, whole + " answers, each whole and to its own request");
    }

    private void checkNotRun() {
        Set<String> ran = new HashSet<>();
        mFacts.mRuns.values().forEach(runs -> runs.forEach(run -> ran.add(run.requestId())));
        List<String> broken = new ArrayList<>();
        int refusals = 0;
        for (JsonNode record : mFacts.mRecords) {
            for (JsonNode attempt : record.path("attempts")) {
                String kind = attempt.path("kind").asText();
                String id = attempt.path("requestId").asText();
                if (kind.equals("not-run") || kind.equals("never-sent")) {
                    refusals++;
                    if (ran.contains(id)) {
                        broken.add(id + " (" + attempt.path("reason").asText() + ") ran");
                    }
                }
            }
        }
        add(4, broken, refusals + " refusals and failed connections, and none of this work ran");
    }

    private void checkOnce() {
        Map<String, Integer> runs = new HashMap<>();
        for (List<RunJournal.Run> each : mFacts.mRuns.values()) {
            for (RunJournal.Run run : each) {
                int dot = run.requestId().lastIndexOf('.');
                if (dot > 0) {
                    runs.merge(run.requestId().substring(0, dot), 1, Integer::sum);
                }
            }
        }
        List<String> broken = new ArrayList<>();
        int works = 0;
        int ran = 0;
        for (JsonNode record : mFacts.mRecords) {
            if (record.path("once").asBoolean()) {
                works++;
                int count = runs.getOrDefault(record.path("id").asText(), 0);
                ran += count;
                boolean answered = record.path("end").asText().equals("answered");
                if (count > 1 || answered && count == 0) {
                    broken.add(record.path("id").asText() + " ran " + count + " times");
                }
            }
        }
        add(5, broken, works + " requests that may run once: " + ran + " runs, none twice");
    }

    private void checkDrain() {
        long last = 0;
        for (RunJournal.Run run : mFacts.mRuns.getOrDefault(mFacts.mDrainedServer, List.of())) {
            last = Math.max(last, run.startedAt());
        }
        List<String> broken = new ArrayList<>();
        if (last > mFacts.mDrainAcceptedAt + DRAIN_MILLIS) {
            broken.add(
                    "%s got work %d ms after its drain"
                            .formatted(mFacts.mDrainedServer, last - mFacts.mDrainAcceptedAt));
        }
        add(
                6,
                broken,
                "%s got its last request %d ms after its drain was accepted"
                        .formatted(
                                mFacts.mDrainedServer,
                                Math.max(0, last - mFacts.mDrainAcceptedAt)));
    }

    private void checkStop() {
        List<String> broken = new ArrayList<>();
        Integer exit = mFacts.mStopExitCode;
        if (exit == null || exit != 0) {
            broken.add("the stopped entry host " + (exit == null ? "still runs" : "exit " + exit));
        }
        int served = 0;
        for (JsonNode record : mFacts.mRecords) {
            for (JsonNode attempt : record.path("attempts")) {
                long ended = attempt.path("endedAt").asLong();
                boolean during =
                        ended >= mFacts.mStopBeganAt && ended <= mFacts.mStopEndedAt + 1_000;
                boolean here = attempt.path("address").asText().equals(mFacts.mStoppedClient);
                String kind = attempt.path("kind").asText();
                String reason = attempt.path("reason").asText();
                boolean cutOff = here && reason.equals("lost-cut-off");
                // A request that the entry host gives up at its deadline is late, not cut off.
                boolean late = ended >= record.path("deadlineAt").asLong() - LATE_MILLIS;
                boolean peerLost = kind.equals("unknown") && reason.equals("peer-lost") && !late;
                served += during && here && kind.equals("whole") ? 1 : 0;
                if (during && (cutOff || peerLost)) {
                    broken.add(attempt.path("requestId").asText() + " was cut off");
                }
            }
        }
        add(
                7,
                broken,
                "planned stop took %d ms, exit 0, %d requests answered meanwhile, none cut off"
                        .formatted(mFacts.mStopEndedAt - mFacts.mStopBeganAt, served));
    }

    private void checkSettings() {
        List<String> broken = new ArrayList<>();
        mFacts.mSamples.forEach(
                (host, samples) -> {
                    for (int i = 1; i < samples.size(); i++) {
                        if (samples.get(i).version() < samples.get(i - 1).version()) {
                            broken.add(host + " went back to version " + samples.get(i).version());
                        }
                    }
                });
        long drain = inForceAt(mFacts.mDrainVersion) - mFacts.mDrainAcceptedAt;
        long cap = inForceAt(mFacts.mCapVersion) - mFacts.mCapAcceptedAt;
        if (Math.max(drain, cap) > SPREAD_MILLIS) {
            broken.add("a version was not in force everywhere within " + SPREAD_MILLIS + " ms");
        }
        add(
                8,
                broken,
                "versions %d and %d in force on all hosts %d and %d ms after their acceptance"
                        .formatted(
                                mFacts.mDrainVersion,
                                mFacts.mCapVersion,
                                Math.max(0, drain),
                                Math.max(0, cap)));
    }

    /** Returns when the last live host was first seen with {@code version}. */
    private long inForceAt(long version) {
        long last = 0;
        for (String host : mFacts.mLiveHosts) {
            long first = NEVER;
            for (DemoWatch.Sample sample : mFacts.mSamples.getOrDefault(host, List.of())) {
                if (sample.version() >= version) {
                    first = Math.min(first, sample.at());
                }
            }
            last = Math.max(last, first);
        }
        return last;
    }

    private List<RunJournal.Run> runsBehind(DemoSample.Cap cap, long from) {
        List<RunJournal.Run> runs = new ArrayList<>();
        for (DemoSample.Server server : mSample.servers()) {
            if (server.service().equals(cap.service()) && server.region().equals(cap.region())) {
                for (RunJournal.Run run : mFacts.mRuns.getOrDefault(server.name(), List.of())) {
                    if (run.startedAt() >= from) {
                        runs.add(run);
                    }
                }
            }
        }
        return runs;
    }

    private void add(int number, List<String> broken, String held) {
        String text = broken.isEmpty() ? held : String.join("; ", first(broken));
        mChecks.add(new Check(number, broken.isEmpty(), text));
    }

    private static List<String> first(List<String> broken) {
        return broken.size() <= 3
                ? broken
                : List.of(
                        broken.get(0),
                        broken.get(1),
                        broken.get(2),
                        "and " + (broken.size() - 3) + " more");
    }
}
