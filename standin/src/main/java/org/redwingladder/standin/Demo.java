package org.redwingladder.standin;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Runs a deployment through a burst with failures and records what happens. */
final class Demo {
    private static final long LOAD_END_MILLIS = 30_000;
    private static final long STOP_MILLIS = 40_000;
    private static final long WARM_UP_MILLIS = 8_000;

    /** The share of the first service's backend servers that become slow: one in this many. */
    private static final int SLOW_ONE_IN = 5;

    /** To how much of the offered rate of a region the cap is lowered. */
    private static final double LOWERED_SHARE = 0.5;

    private final DemoSample mSample;
    private final DemoCluster mCluster;
    private final Path mDirectory;
    private final DemoTimes mTimes;
    private final DemoFacts mFacts = new DemoFacts();
    private long mStartMillis;
    private DemoCluster.@Nullable Host mKilled;
    private DemoCluster.@Nullable Host mStopped;

    /** Carries out one step of the run. */
    private interface Action {
        void run() throws IOException, InterruptedException, DemoException;
    }

    private record Event(long at, String text, Action action) {}

    Demo(DemoSample sample, DemoCluster cluster, Path directory, DemoTimes times) {
        mSample = sample;
        mCluster = cluster;
        mDirectory = directory;
        mTimes = times;
    }

    /** Runs the demo and returns what it has seen. */
    DemoFacts run() throws IOException, InterruptedException, DemoException {
        long begin = System.currentTimeMillis();
        mStartMillis = begin;
        mCluster.startStandins(mSample);
        say("platform and %d backend servers run", mSample.servers().size());
        mCluster.startHosts(mSample);
        say("%d entry hosts run", mCluster.hosts().size());
        long version = putSettings();
        mCluster.awaitReady(version);
        say("all entry hosts are ready with settings version %d", version);
        warmUp();
        try (DemoWatch watch = new DemoWatch(mCluster)) {
            DemoProcess load = startLoad();
            for (Event event : events(watch)) {
                sleepUntil(event.at());
                say(event.text());
                event.action().run();
            }
            awaitLoad(load);
            awaitStop();
            mFacts.mSamples = watch.samples();
        }
        collect();
        return mFacts;
    }

    private long putSettings() throws IOException, InterruptedException, DemoException {
        put("deployment", "/deployment", mSample.deploymentTree());
        long version = 0;
        for (String team : mSample.teams()) {
            JsonNode tree = mSample.teamTree(team, mCluster.serverAddresses());
            version = put(team, "/teams/" + team, tree);
        }
        return version;
    }

    /** Puts a value with the tool and returns the version that it made. */
    private long put(String team, String path, JsonNode value)
            throws IOException, InterruptedException, DemoException {
        String name = "put" + path.replace('/', '-');
        DemoCluster.ToolResult result =
                mCluster.runTool(
                        name,
                        List.of(
                                "settings",
                                "put",
                                path,
                                mCluster.write(name, value).toString(),
                                "--operator",
                                liveHost().operator(),
                                "--team",
                                team,
                                "--team-key",
                                mSample.teamKey(team),
                                "--output",
                                "json"));
        if (result.exitCode() != 0) {
            throw new DemoException(name + " failed: " + result.output());
        }
        return Json.MAPPER.readTree(result.output()).path("version").asLong();
    }

    private void warmUp() throws IOException, InterruptedException, DemoException {
        say("a small load lets the processes load their code");
        Path plan = mCluster.write("warm-up-plan", mSample.warmUpPlan(WARM_UP_MILLIS));
        DemoProcess load = startLoad("warm-up", plan);
        load.exitCode(LOAD_END_MILLIS)
                .orElseThrow(() -> new DemoException("the warm-up does not end"));
    }

    private DemoProcess startLoad(String name, Path plan) throws IOException {
        List<String> entries = new ArrayList<>();
        for (DemoCluster.Host host : mCluster.hosts()) {
            entries.add(host.client());
        }
        return mCluster.startTool(
                name,
                List.of(
                        "load",
                        plan.toString(),
                        "--entry",
                        String.join(",", entries),
                        "--records",
                        mDirectory.resolve(name + "-records.jsonl").toString(),
                        "--output",
                        "json"));
    }

    private DemoProcess startLoad() throws IOException {
        DemoProcess load = startLoad("load", mCluster.write("load-plan", mSample.loadPlan(mTimes)));
        mStartMillis = System.currentTimeMillis();
        mFacts.mLoadStartedAt = mStartMillis;
        say("the load begins");
        return load;
    }

    private List<Event> events(DemoWatch watch) {
        String first = mSample.services().get(0).name();
        String second = mSample.services().get(1).name();
        List<Event> events = new ArrayList<>();
        events.add(
                new Event(
                        mTimes.slowAt(),
                        "one in " + SLOW_ONE_IN + " servers of " + first + " becomes slow",
                        () -> slow(first)));
        events.add(
                new Event(
                        mTimes.killAt(),
                        "an entry host that owns a site of " + first + " is killed",
                        () -> kill(watch, first)));
        events.add(new Event(mTimes.burstAt(), "the burst begins", () -> {}));
        events.add(
                new Event(
                        mTimes.stopAt(),
                        "the planned stop of an owner of a site of " + second + " begins",
                        () -> stop(watch, second)));
        events.add(
                new Event(
                        mTimes.drainAt(),
                        "a backend server of " + second + " is drained",
                        () -> drain(second)));
        events.add(
                new Event(mTimes.capAt(), "a cap of " + first + " is lowered", () -> lower(first)));
        events.add(
                new Event(
                        mTimes.downAt(),
                        "the platform goes down",
                        () -> mCluster.injectPlatform("{\"down\":true}")));
        events.add(
                new Event(
                        mTimes.upAt(),
                        "the platform is up again",
                        () -> mCluster.injectPlatform("{}")));
        return events;
    }

    private void slow(String service) throws InterruptedException, DemoException {
        long until = System.currentTimeMillis() + mTimes.slowMillis();
        int number = 0;
        for (DemoSample.Server server : mSample.servers()) {
            if (server.service().equals(service) && number++ % SLOW_ONE_IN == 0) {
                mCluster.injectServer(
                        server.name(), "{\"slowFactor\":10,\"slowUntil\":" + until + "}");
            }
        }
    }

    private void kill(DemoWatch watch, String service) throws DemoException {
        DemoCluster.Host host = ownerOf(watch, service, null);
        mKilled = host;
        host.process().kill();
        say("  %s of %s is killed", host.name(), host.zone());
    }

    private void stop(DemoWatch watch, String service) throws DemoException {
        DemoCluster.Host host = ownerOf(watch, service, requireNonNull(mKilled).zone());
        mStopped = host;
        mFacts.mStoppedClient = host.client();
        mFacts.mStopBeganAt = System.currentTimeMillis();
        host.process().terminate();
        Thread.ofPlatform().daemon().name("stop").start(() -> awaitExit(host));
        say("  %s of %s is stopped", host.name(), host.zone());
    }

    private void awaitExit(DemoCluster.Host host) {
        try {
            host.process()
                    .exitCode(STOP_MILLIS)
                    .ifPresent(
                            code -> {
                                mFacts.mStopEndedAt = System.currentTimeMillis();
                                mFacts.mStopExitCode = code;
                                say("  %s has ended with exit code %d", host.name(), code);
                            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drain(String service) throws IOException, InterruptedException, DemoException {
        for (DemoSample.Server server : mSample.servers()) {
            if (server.service().equals(service)) {
                mFacts.mDrainedServer = server.name();
                String path =
                        "/teams/" + server.team() + "/backendServers/" + server.name() + "/state";
                mFacts.mDrainVersion =
                        put(server.team(), path, Json.MAPPER.getNodeFactory().textNode("draining"));
                mFacts.mDrainAcceptedAt = System.currentTimeMillis();
                return;
            }
        }
    }

    private void lower(String service) throws IOException, InterruptedException, DemoException {
        for (DemoSample.Cap cap : mSample.regionCaps()) {
            if (cap.service().equals(service)) {
                int offered = mSample.services().get(0).streams().get(0).requestsPerSecond();
                int regions = mSample.regionsByZone().size() / 2;
                mFacts.mLoweredCap = cap.name();
                mFacts.mLoweredRate = (int) (offered / regions * LOWERED_SHARE);
                String path = "/teams/" + cap.team() + "/caps/" + cap.name() + "/requestsPerSecond";
                JsonNode value = Json.MAPPER.getNodeFactory().numberNode(mFacts.mLoweredRate);
                mFacts.mCapVersion = put(cap.team(), path, value);
                mFacts.mCapAcceptedAt = System.currentTimeMillis();
                return;
            }
        }
    }

    /** Returns an entry host that owns a site of {@code service}, outside {@code notZone}. */
    private DemoCluster.Host ownerOf(DemoWatch watch, String service, @Nullable String notZone)
            throws DemoException {
        for (DemoCluster.Host host : mCluster.hosts()) {
            boolean owns =
                    watch.last(host.name())
                            .filter(sample -> sample.sites().contains(service))
                            .isPresent();
            if (owns && host.process().alive() && !host.zone().equals(notZone)) {
                return host;
            }
        }
        throw new DemoException("no entry host owns a site of " + service);
    }

    private DemoCluster.Host liveHost() throws DemoException {
        for (DemoCluster.Host host : mCluster.hosts()) {
            if (host.process().alive() && host != mStopped) {
                return host;
            }
        }
        throw new DemoException("no entry host runs");
    }

    private void awaitLoad(DemoProcess load)
            throws IOException, InterruptedException, DemoException {
        sleepUntil(mTimes.loadMillis());
        int code =
                load.exitCode(LOAD_END_MILLIS)
                        .orElseThrow(() -> new DemoException("the load does not end"));
        if (code != 0) {
            throw new DemoException("the load failed: " + load.output());
        }
        mFacts.mReport = Json.MAPPER.readTree(load.output());
        say("the load has ended");
    }

    private void awaitStop() throws InterruptedException {
        DemoCluster.Host host = mStopped;
        if (host != null) {
            host.process().exitCode(STOP_MILLIS);
        }
    }

    private void collect() throws IOException, InterruptedException, DemoException {
        List<JsonNode> records = new ArrayList<>();
        for (String line : Files.readAllLines(mDirectory.resolve("load-records.jsonl"))) {
            records.add(Json.MAPPER.readTree(line));
        }
        mFacts.mRecords = records;
        Map<String, List<RunJournal.Run>> runs = new LinkedHashMap<>();
        Map<String, BackendStats> stats = new LinkedHashMap<>();
        for (DemoSample.Server server : mSample.servers()) {
            JsonNode journal = mCluster.askServer(server.name(), "journal");
            RunJournal.Run[] all =
                    Json.MAPPER.treeToValue(journal.path("runs"), RunJournal.Run[].class);
            runs.put(server.name(), List.of(all));
            stats.put(
                    server.name(),
                    Json.MAPPER.treeToValue(
                            mCluster.askServer(server.name(), "stats"), BackendStats.class));
        }
        mFacts.mRuns = runs;
        mFacts.mStats = stats;
        List<String> live = new ArrayList<>();
        for (DemoCluster.Host host : mCluster.hosts()) {
            if (host.process().alive()) {
                live.add(host.name());
            }
        }
        mFacts.mLiveHosts = live;
    }

    private void sleepUntil(long offsetMillis) throws InterruptedException {
        long left = mStartMillis + offsetMillis - System.currentTimeMillis();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    private void say(String format, Object... values) {
        long now = System.currentTimeMillis() - mStartMillis;
        System.out.printf("%5.1f s  %s%n", now / 1e3, format.formatted(values));
    }
}
