package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.CallerLimits;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.steering.HostEntry;
import org.redwingladder.steering.HostSize;
import org.redwingladder.steering.MemberTable;
import org.redwingladder.steering.ServerEntry;
import org.redwingladder.steering.SteeringSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Runs the hosts of a region without the exchanges between random pairs, whose time grows with the
 * number of hosts, so that only news that is pushed arrives.
 */
class SpreadTest {
    /** About twice the hosts of a region of the grown deployments. */
    private static final int HOSTS = 100;

    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final InetSocketAddress NOWHERE =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final List<Host> mHosts = new ArrayList<>();
    private XnioWorker mWorker;
    private HttpCaller mCaller;
    private long mBeats;

    /** Holds a host whose store the test scripts. */
    private final class Host implements StateKeeper.Receiver {
        private final ScriptedStore mStore = new ScriptedStore();
        private final MemberTable mMembers;
        private final StateKeeper mKeeper;
        private final PeerExchange mExchange;
        private final Undertow mListener;
        private final String mName;
        private volatile Set<String> mUsable = Set.of();

        Host(String name) {
            mName = name;
            mMembers = MemberTable.create(name);
            mListener =
                    Undertow.builder()
                            .setWorker(mWorker)
                            .addHttpListener(0, "127.0.0.1")
                            .setHandler(this::handle)
                            .build();
            mListener.start();
            EventLog log = EventLog.of(name);
            mKeeper = new StateKeeper(new Rows(), mWorker.getIoThread(0), log, this);
            mExchange =
                    new PeerExchange(
                            new EntryConfig(
                                    name,
                                    "z1",
                                    Map.of("z1", "r1"),
                                    NOWHERE,
                                    NOWHERE,
                                    NOWHERE,
                                    address(),
                                    List.of(),
                                    NOWHERE,
                                    new HostSize(1, 1000),
                                    new EntryConfig.Bounds(2000, 5000, 0.2, 100, 10_000)),
                            mMembers,
                            mKeeper,
                            mCaller,
                            mWorker.getIoThread(0),
                            log,
                            new EntryMetrics());
        }

        private void handle(HttpServerExchange exchange) {
            mExchange.handleRequest(exchange);
        }

        private InetSocketAddress address() {
            return (InetSocketAddress) mListener.getListenerInfo().get(0).getAddress();
        }

        HostEntry entry(long beats) {
            return new HostEntry(
                    mName,
                    1,
                    beats,
                    "z1",
                    Addresses.format(address()),
                    Addresses.format(NOWHERE),
                    true,
                    true,
                    1,
                    Map.of());
        }

        @Override
        public void settings(SteeringSettings settings) {}

        @Override
        public void evacuated(Set<String> zones) {}

        @Override
        public void servers(Map<String, ServerEntry> servers) {
            Set<String> usable = new HashSet<>();
            servers.forEach(
                    (id, server) -> {
                        if (!server.draining()) {
                            usable.add(id);
                        }
                    });
            mUsable = Set.copyOf(usable);
        }
    }

    /** Reads the state of a server from its row. */
    private static final class Rows implements RowCodec {
        @Override
        public ControlRow control(String key, byte[] value) {
            return new ControlRow.Other();
        }

        @Override
        public ServerEntry server(String key, byte[] value, long nowNanos) {
            boolean draining = new String(value, UTF_8).equals("draining");
            return new ServerEntry(key, "a", "10.0.0.1:80", "z1", 4, draining, 1, 0);
        }
    }

    @BeforeEach
    void start() throws Exception {
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
        mCaller =
                HttpCaller.create(
                        mWorker, new DefaultByteBufferPool(true, 16_384), CallerLimits.defaults());
        for (int i = 0; i < HOSTS; i++) {
            Host host = new Host("h" + i);
            mHosts.add(host);
            run(() -> host.mKeeper.start(host.mStore, host.mExchange::pass));
            run(
                    () ->
                            host.mStore.read(
                                    StoreTable.SERVERS,
                                    10,
                                    row("s1", 1, "ready"),
                                    row("s2", 2, "ready"),
                                    row("s3", 3, "ready")));
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (Host host : mHosts) {
            run(host.mKeeper::stop);
            host.mListener.stop();
        }
        mCaller.close();
        mWorker.shutdownNow();
    }

    private void run(Runnable step) throws Exception {
        CompletableFuture.runAsync(step, mWorker.getIoThread(0)).get(20, TimeUnit.SECONDS);
    }

    private static StoreRow row(String key, long version, String state) {
        return new StoreRow(key, version, state.getBytes(UTF_8));
    }

    /** Lets a host know that all others are alive. */
    private void introduce(Host reader) {
        mBeats++;
        for (Host host : mHosts) {
            reader.mMembers.merge(List.of(host.entry(mBeats)), System.nanoTime());
        }
    }

    private void awaitAll(Set<String> usable) throws InterruptedException {
        long until = System.nanoTime() + LIMIT_NANOS;
        while (!behind(usable).isEmpty() && System.nanoTime() - until < 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(behind(usable)).isEmpty();
    }

    private List<String> behind(Set<String> usable) {
        return mHosts.stream()
                .filter(host -> !host.mUsable.equals(usable))
                .map(host -> host.mName)
                .toList();
    }

    @Nested
    class LeavingServers {
        @Test
        void areKnownToAllHostsOnceOneReadTheTableAfterALostHistory() throws Exception {
            Host reader = mHosts.get(0);
            run(() -> reader.mKeeper.follow(true));
            run(
                    () ->
                            reader.mStore.failWait(
                                    StoreTable.SERVERS, StoreException.Reason.HISTORY_LOST));
            run(
                    () -> {
                        introduce(reader);
                        reader.mStore.read(
                                StoreTable.SERVERS,
                                12,
                                row("s2", 2, "ready"),
                                row("s3", 11, "draining"));
                    });
            awaitAll(Set.of("s2"));
        }

        @Test
        void areKnownToHostsThatMissedAnEarlierPush() throws Exception {
            Host reader = mHosts.get(0);
            run(() -> reader.mKeeper.follow(true));
            run(() -> reader.mStore.change(StoreTable.SERVERS, 11, row("s3", 11, "draining")));
            run(() -> introduce(reader));
            long until = System.nanoTime() + LIMIT_NANOS;
            while (!waits(reader) && System.nanoTime() - until < 0) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            run(() -> introduce(reader));
            run(() -> reader.mStore.change(StoreTable.SERVERS, 12, row("s1", 12, "draining")));
            awaitAll(Set.of("s2"));
        }

        private boolean waits(Host host) throws Exception {
            boolean[] waits = new boolean[1];
            run(() -> waits[0] = host.mStore.waits(StoreTable.SERVERS));
            return waits[0];
        }
    }
}
