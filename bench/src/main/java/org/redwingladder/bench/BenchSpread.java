package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.redwingladder.platform.PlatformClient;

/**
 * Compares the spread of a settings change over 23 entry hosts in six zones with each host polling
 * the platform once a second by itself.
 */
final class BenchSpread {
    private static final int HOSTS = 23;
    private static final int ZONES = 6;
    private static final int CHANGES = 7;
    private static final long IDLE_SECONDS = 5;
    private static final long POLL_MILLIS = 1000;
    private static final String HEAD = "settings/head";

    private BenchSpread() {}

    static List<Bench.Line> run() throws Exception {
        try (BenchCluster cluster = new BenchCluster(HOSTS, ZONES)) {
            cluster.awaitReady();
            double idle = readsWhileIdle(cluster);
            Poller poller = new Poller(cluster);
            long before = cluster.mPlatform.stats().reads();
            TimeUnit.SECONDS.sleep(IDLE_SECONDS);
            double polled = (cluster.mPlatform.stats().reads() - before) / (double) IDLE_SECONDS;
            List<Double> ours = new ArrayList<>();
            List<Double> baseline = new ArrayList<>();
            long subtree = 2;
            for (int i = 0; i < CHANGES; i++) {
                long start = System.nanoTime();
                long version = cluster.put("store", "/teams/store", subtree, cluster.store());
                subtree = version;
                cluster.awaitVersion(version);
                ours.add((System.nanoTime() - start) / 1e6);
                baseline.add((poller.awaitAll(version) - start) / 1e6);
                TimeUnit.MILLISECONDS.sleep(130L * i);
            }
            poller.close();
            return List.of(
                    new Bench.Line(
                            "change in force on the last of 23 hosts, median ms",
                            median(baseline),
                            median(ours)),
                    new Bench.Line("platform reads a second while idle", polled - idle, idle));
        }
    }

    private static double readsWhileIdle(BenchCluster cluster) throws InterruptedException {
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        long before = cluster.mPlatform.stats().reads();
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        return (cluster.mPlatform.stats().reads() - before) / (double) IDLE_SECONDS;
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElse(0.0);
    }

    /** Polls the head row for each host, as the baseline does. */
    private static final class Poller implements AutoCloseable {
        private final PlatformClient mPlatform;
        private final AtomicLongArray mSeen = new AtomicLongArray(HOSTS);
        private final AtomicLongArray mSeenAt = new AtomicLongArray(HOSTS);
        private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(1);
        private final List<ScheduledFuture<?>> mTasks = new ArrayList<>();

        Poller(BenchCluster cluster) {
            mPlatform =
                    PlatformClient.create(
                            cluster.mCaller, List.of(cluster.mPlatform.socketAddress()));
            for (int i = 0; i < HOSTS; i++) {
                int host = i;
                mTasks.add(
                        mTimer.scheduleAtFixedRate(
                                () -> poll(host),
                                POLL_MILLIS * i / HOSTS,
                                POLL_MILLIS,
                                TimeUnit.MILLISECONDS));
            }
        }

        private void poll(int host) {
            mPlatform
                    .row(HEAD, BenchCluster.deadline())
                    .thenAccept(
                            row -> {
                                long version =
                                        row.map(r -> r.value().path("version").asLong()).orElse(0L);
                                if (mSeen.getAndSet(host, version) < version) {
                                    mSeenAt.set(host, System.nanoTime());
                                }
                            });
        }

        /** Waits until all have seen {@code version}; returns when the last one did. */
        long awaitAll(long version) throws InterruptedException {
            long last = 0;
            for (int i = 0; i < HOSTS; i++) {
                while (mSeen.get(i) < version) {
                    TimeUnit.MILLISECONDS.sleep(1);
                }
                last = Math.max(last, mSeenAt.get(i));
            }
            return last;
        }

        @Override
        public void close() {
            mTasks.forEach(task -> task.cancel(true));
            mTimer.shutdownNow();
        }
    }
}
