package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Samples the settings version of every entry host until it is closed. */
final class DemoWatch implements AutoCloseable {
    private static final long PAUSE_MILLIS = 200;

    private final DemoCluster mCluster;
    private final Thread mThread;
    private final Map<String, List<Sample>> mSamples = new LinkedHashMap<>();
    private volatile boolean mClosed;

    /**
     * Holds what a host reported.
     *
     * @param at when, in epoch milliseconds
     * @param version its settings version
     * @param sites the services of the sites that it owned
     */
    record Sample(long at, long version, List<String> sites) {}

    DemoWatch(DemoCluster cluster) {
        mCluster = cluster;
        mThread = Thread.ofPlatform().daemon().name("watch").start(this::watch);
    }

    /** Returns the samples of each host. */
    synchronized Map<String, List<Sample>> samples() {
        Map<String, List<Sample>> copy = new LinkedHashMap<>();
        mSamples.forEach((host, samples) -> copy.put(host, List.copyOf(samples)));
        return copy;
    }

    /** Returns the last sample of a host. */
    synchronized Optional<Sample> last(String host) {
        List<Sample> samples = mSamples.getOrDefault(host, List.of());
        return samples.isEmpty() ? Optional.empty() : Optional.of(samples.get(samples.size() - 1));
    }

    private void watch() {
        try {
            while (!mClosed) {
                for (DemoCluster.Host host : mCluster.hosts()) {
                    if (host.process().alive()) {
                        Optional<JsonNode> status = mCluster.status(host);
                        status.ifPresent(node -> add(host.name(), node));
                    }
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void add(String host, JsonNode status) {
        List<String> sites = new ArrayList<>();
        status.path("sites").forEach(site -> sites.add(site.asText()));
        mSamples.computeIfAbsent(host, name -> new ArrayList<>())
                .add(
                        new Sample(
                                System.currentTimeMillis(),
                                status.path("settingsVersion").asLong(),
                                sites));
    }

    @Override
    public void close() {
        mClosed = true;
        mThread.interrupt();
    }
}
