package org.redwingladder.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Polls the status of every entry host until it is closed. */
final class DemoStatusSampler implements AutoCloseable {
    private static final long SAMPLE_INTERVAL_MILLIS = 200;

    private final DemoCluster mCluster;
    private final Thread mThread;
    private final Map<String, List<Sample>> mStatusSamples = new LinkedHashMap<>();
    private volatile boolean mClosed;

    /**
     * The status of a host at one instant.
     *
     * @param at the time of the sample, in epoch milliseconds
     * @param version the host's settings version
     * @param sites the services of the sites that it owned
     */
    record Sample(long at, long version, List<String> sites) {}

    DemoStatusSampler(DemoCluster cluster) {
        mCluster = cluster;
        mThread = Thread.ofPlatform().daemon().name("watch").start(this::sampleLoop);
    }

    /** Returns the samples of each host. */
    synchronized Map<String, List<Sample>> samples() {
        Map<String, List<Sample>> copy = new LinkedHashMap<>();
        mStatusSamples.forEach((host, samples) -> copy.put(host, List.copyOf(samples)));
        return copy;
    }

    /** Returns the last sample of a host. */
    synchronized Optional<Sample> last(String host) {
        List<Sample> samples = mStatusSamples.getOrDefault(host, List.of());
        return samples.isEmpty() ? Optional.empty() : Optional.of(samples.get(samples.size() - 1));
    }

    private void sampleLoop() {
        try {
            while (!mClosed) {
                for (DemoCluster.Host host : mCluster.hosts()) {
                    if (host.process().isAlive()) {
                        Optional<JsonNode> status = mCluster.status(host);
                        status.ifPresent(node -> add(host.name(), node));
                    }
                }
                Thread.sleep(SAMPLE_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void add(String host, JsonNode status) {
        List<String> sites = new ArrayList<>();
        status.path("sites").forEach(site -> sites.add(site.asText()));
        mStatusSamples
                .computeIfAbsent(host, name -> new ArrayList<>())
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
