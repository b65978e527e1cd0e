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

/**
 * Runs a deployment under load with a traffic burst and injected failures, and collects
 * observations.
 */
final class DemoScenario {
    private static final long LOAD_EXIT_TIMEOUT_MILLIS = 30_000;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 40_000;
    private static final long WARM_UP_MILLIS = 8_000;

    /** One in this many of the first service's backend servers becomes slow. */
    private static final int SLOW_SERVER_INTERVAL = 5;

    /** Ratio of the lowered cap to the rate offered to a region. */
    private static final double LOWERED_CAP_RATIO = 0.5;

    private final DemoDeployment mDeployment;
    private final DemoCluster mCluster;
    private final Path mDirectory;
    private final DemoSchedule mSchedule;
    private final DemoObservations mObservations = new DemoObservations();
    private long mStartMillis;
    private DemoCluster.@Nullable Host mKilledHost;
    private DemoCluster.@Nullable Host mStoppedHost;

    /** A step of the scenario. */
    private interface Action {
        void run() throws IOException, InterruptedException, DemoException;
    }

    private record Event(long at, String text, Action action) {}

    DemoScenario(
            DemoDeployment deployment, DemoCluster cluster, Path directory, DemoSchedule schedule) {
        mDeployment = deployment;
        mCluster = cluster;
        mDirectory = directory;
        mSchedule = schedule;
    }

    /** Runs the scenario and returns its observations. */
    DemoObservations run() throws IOException, InterruptedException, DemoException {
        long begin = System.currentTimeMillis();
        mStartMillis = begin;
        mCluster.startStandins(mDeployment);
        log("started the platform and %d backend servers", mDeployment.servers().size());
        mCluster.startHosts(mDeployment);
        log("started %d entry hosts", mCluster.hosts().size());
        long version = putSettings();
        mCluster.awaitReady(version);
        log("all entry hosts are ready with settings version %d", version);
        warmUp();
        try (DemoStatusSampler sampler = new DemoStatusSampler(mCluster)) {
            DemoProcess load = startLoad();
            for (Event event : events(sampler)) {
                sleepUntil(event.at());
                log(event.text());
                event.action().run();
            }
            awaitLoad(load);
            awaitShutdown();
            mObservations.mStatusSamples = sampler.samples();
        }
        collectObservations();
        return mObservations;
    }

    private long putSettings() throws IOException, InterruptedException, DemoException {
        putSetting("deployment", "/deployment", mDeployment.deploymentTree());
        long version = 0;
        for (String team : mDeployment.teams()) {
            JsonNode tree = mDeployment.teamTree(team, mCluster.serverAddresses());
            version = putSetting(team, "/teams/" + team, tree);
        }
        return version;
    }

    /** Writes a setting with the tool and returns the resulting settings version. */
    private long putSetting(String team, String path, JsonNode value)
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
                                runningHost().operatorAddress(),
                                "--team",
                                team,
                                "--team-key",
                                mDeployment.teamKey(team),
                                "--output",
                                "json"));
        if (result.exitCode() != 0) {
            throw new DemoException(name + " failed: " + result.output());
        }
        return Json.MAPPER.readTree(result.output()).path("version").asLong();
    }

    private void warmUp() throws IOException, InterruptedException, DemoException {
        log("warming up the processes at a low request rate");
        Path plan = mCluster.write("warm-up-plan", mDeployment.warmUpPlan(WARM_UP_MILLIS));
        DemoProcess load = startLoad("warm-up", plan);
        load.exitCode(LOAD_EXIT_TIMEOUT_MILLIS)
                .orElseThrow(() -> new DemoException("the warm-up load did not finish in time"));
    }

    private DemoProcess startLoad(String name, Path plan) throws IOException {
        List<String> entries = new ArrayList<>();
        for (DemoCluster.Host host : mCluster.hosts()) {
            entries.add(host.clientAddress());
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
        DemoProcess load =
                startLoad("load", mCluster.write("load-plan", mDeployment.loadPlan(mSchedule)));
        mStartMillis = System.currentTimeMillis();
        mObservations.mLoadStartedAt = mStartMillis;
        log("load started");
        return load;
    }

    private List<Event> events(DemoStatusSampler sampler) {
        String first = mDeployment.services().get(0).name();
        String second = mDeployment.services().get(1).name();
        List<Event> events = new ArrayList<>();
        events.add(
                new Event(
                        mSchedule.slowAt(),
                        "one in " + SLOW_SERVER_INTERVAL + " servers of " + first + " becomes slow",
                        () -> slowDownServers(first)));
        events.add(
                new Event(
                        mSchedule.killAt(),
                        "an entry host that owns a site of " + first + " is killed",
                        () -> killOwner(sampler, first)));
        events.add(new Event(mSchedule.burstAt(), "traffic burst starts", () -> {}));
        events.add(
                new Event(
                        mSchedule.shutdownAt(),
                        "graceful shutdown of an entry host that owns a site of "
                                + second
                                + " starts",
                        () -> shutDownOwner(sampler, second)));
        events.add(
                new Event(
                        mSchedule.drainAt(),
                        "a backend server of " + second + " is drained",
                        () -> drainServer(second)));
        events.add(
                new Event(
                        mSchedule.capAt(),
                        "a cap of " + first + " is lowered",
                        () -> lowerCap(first)));
        events.add(
                new Event(
                        mSchedule.platformDownAt(),
                        "the platform becomes unavailable",
                        () -> mCluster.injectPlatform("{\"down\":true}")));
        events.add(
                new Event(
                        mSchedule.platformUpAt(),
                        "the platform is available again",
                        () -> mCluster.injectPlatform("{}")));
        return events;
    }

    private void slowDownServers(String service) throws InterruptedException, DemoException {
        long until = System.currentTimeMillis() + mSchedule.slowMillis();
        int number = 0;
        for (DemoDeployment.Server server : mDeployment.servers()) {
            if (server.service().equals(service) && number++ % SLOW_SERVER_INTERVAL == 0) {
                mCluster.injectServer(
                        server.name(), "{\"slowFactor\":10,\"slowUntil\":" + until + "}");
            }
        }
    }

    private void killOwner(DemoStatusSampler sampler, String service) throws DemoException {
        DemoCluster.Host host = ownerOf(sampler, service, null);
        mKilledHost = host;
        host.process().kill();
        log("  killed %s in %s", host.name(), host.zone());
    }

    private void shutDownOwner(DemoStatusSampler sampler, String service) throws DemoException {
        DemoCluster.Host host = ownerOf(sampler, service, requireNonNull(mKilledHost).zone());
        mStoppedHost = host;
        mObservations.mStoppedHostAddress = host.clientAddress();
        mObservations.mShutdownStartedAt = System.currentTimeMillis();
        host.process().terminate();
        Thread.ofPlatform().daemon().name("stop").start(() -> awaitExit(host));
        log("  sent SIGTERM to %s in %s", host.name(), host.zone());
    }

    private void awaitExit(DemoCluster.Host host) {
        try {
            host.process()
                    .exitCode(SHUTDOWN_TIMEOUT_MILLIS)
                    .ifPresent(
                            code -> {
                                mObservations.mShutdownEndedAt = System.currentTimeMillis();
                                mObservations.mShutdownExitCode = code;
                                log("  %s exited with code %d", host.name(), code);
                            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drainServer(String service)
            throws IOException, InterruptedException, DemoException {
        for (DemoDeployment.Server server : mDeployment.servers()) {
            if (server.service().equals(service)) {
                mObservations.mDrainedServer = server.name();
                String path =
                        "/teams/" + server.team() + "/backendServers/" + server.name() + "/state";
                mObservations.mDrainVersion =
                        putSetting(
                                server.team(),
                                path,
                                Json.MAPPER.getNodeFactory().textNode("draining"));
                mObservations.mDrainAcceptedAt = System.currentTimeMillis();
                return;
            }
        }
    }

    private void lowerCap(String service) throws IOException, InterruptedException, DemoException {
        for (DemoDeployment.Cap cap : mDeployment.regionCaps()) {
            if (cap.service().equals(service)) {
                int offered = mDeployment.services().get(0).streams().get(0).requestsPerSecond();
                int regions = mDeployment.regionsByZone().size() / 2;
                mObservations.mLoweredCap = cap.name();
                mObservations.mLoweredRate = (int) (offered / regions * LOWERED_CAP_RATIO);
                String path = "/teams/" + cap.team() + "/caps/" + cap.name() + "/requestsPerSecond";
                JsonNode value =
                        Json.MAPPER.getNodeFactory().numberNode(mObservations.mLoweredRate);
                mObservations.mCapVersion = putSetting(cap.team(), path, value);
                mObservations.mCapAcceptedAt = System.currentTimeMillis();
                return;
            }
        }
    }

    /**
     * Returns a running entry host outside {@code excludedZone} that owns a site of {@code
     * service}.
     */
    private DemoCluster.Host ownerOf(
            DemoStatusSampler sampler, String service, @Nullable String excludedZone)
            throws DemoException {
        for (DemoCluster.Host host : mCluster.hosts()) {
            boolean owns =
                    sampler.last(host.name())
                            .filter(sample -> sample.sites().contains(service))
                            .isPresent();
            if (owns && host.process().isAlive() && !host.zone().equals(excludedZone)) {
                return host;
            }
        }
        throw new DemoException("no entry host owns a site of " + service);
    }

    private DemoCluster.Host runningHost() throws DemoException {
        for (DemoCluster.Host host : mCluster.hosts()) {
            if (host.process().isAlive() && host != mStoppedHost) {
                return host;
            }
        }
        throw new DemoException("no entry host is running");
    }

    private void awaitLoad(DemoProcess load)
            throws IOException, InterruptedException, DemoException {
        sleepUntil(mSchedule.loadMillis());
        int code =
                load.exitCode(LOAD_EXIT_TIMEOUT_MILLIS)
                        .orElseThrow(() -> new DemoException("the load did not finish in time"));
        if (code != 0) {
            throw new DemoException("the load failed: " + load.output());
        }
        mObservations.mReport = Json.MAPPER.readTree(load.output());
        log("load finished");
    }

    private void awaitShutdown() throws InterruptedException {
        DemoCluster.Host host = mStoppedHost;
        if (host != null) {
            host.process().exitCode(SHUTDOWN_TIMEOUT_MILLIS);
        }
    }

    private void collectObservations() throws IOException, InterruptedException, DemoException {
        List<JsonNode> records = new ArrayList<>();
        for (String line : Files.readAllLines(mDirectory.resolve("load-records.jsonl"))) {
            records.add(Json.MAPPER.readTree(line));
        }
        mObservations.mRecords = records;
        Map<String, List<RunJournal.Run>> runs = new LinkedHashMap<>();
        Map<String, BackendStats> stats = new LinkedHashMap<>();
        for (DemoDeployment.Server server : mDeployment.servers()) {
            JsonNode journal = mCluster.queryServer(server.name(), "journal");
            RunJournal.Run[] all =
                    Json.MAPPER.treeToValue(journal.path("runs"), RunJournal.Run[].class);
            runs.put(server.name(), List.of(all));
            stats.put(
                    server.name(),
                    Json.MAPPER.treeToValue(
                            mCluster.queryServer(server.name(), "stats"), BackendStats.class));
        }
        mObservations.mRuns = runs;
        mObservations.mStats = stats;
        List<String> live = new ArrayList<>();
        for (DemoCluster.Host host : mCluster.hosts()) {
            if (host.process().isAlive()) {
                live.add(host.name());
            }
        }
        mObservations.mRunningHosts = live;
    }

    private void sleepUntil(long offsetMillis) throws InterruptedException {
        long left = mStartMillis + offsetMillis - System.currentTimeMillis();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    private void log(String format, Object... values) {
        long now = System.currentTimeMillis() - mStartMillis;
        System.out.printf("%5.1f s  %s%n", now / 1e3, format.formatted(values));
    }
}
