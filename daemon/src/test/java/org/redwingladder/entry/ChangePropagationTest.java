package org.redwingladder.entry;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.steering.HostEntry;
import org.redwingladder.steering.MemberTable;
import org.redwingladder.steering.ServerEntry;

/**
 * Runs the hosts of a region without the exchanges between random pairs, whose time grows with the
 * number of hosts, so that only news that is pushed arrives.
 */
class ChangePropagationTest {
    /** About twice the hosts of a region of the grown deployments. */
    private static final int HOSTS = 100;

    private final List<Host> mHosts = new ArrayList<>();
    private TestThread mThread;
    private HttpCaller mCaller;
    private long mBeats;

    /** Holds a host whose store the test scripts. */
    private final class Host {
        private final ScriptedStoreClient mStore = new ScriptedStoreClient();
        private final MemberTable mMembers;
        private final StoreReplica mReplica;
        private final GossipService mExchange;
        private final Undertow mListener;
        private final String mName;
        private volatile Set<String> mUsable = Set.of();

        Host(String name) {
            mName = name;
            mMembers = MemberTable.create(name);
            mListener = mThread.listen(this::handle);
            EventLog log = EventLog.of(name);
            mReplica =
                    new StoreReplica(
                            new TestRowDecoder(),
                            mThread.thread(),
                            log,
                            new ServersListener(this::believe));
            mExchange =
                    new GossipService(
                            TestConfig.host(name, address()),
                            mMembers,
                            mReplica,
                            mCaller,
                            mThread.thread(),
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
                    Addresses.format(TestConfig.NOWHERE),
                    true,
                    true,
                    1,
                    Map.of());
        }

        private void believe(Map<String, ServerEntry> servers) {
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

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        mCaller = mThread.caller();
        for (int i = 0; i < HOSTS; i++) {
            Host host = new Host("h" + i);
            mHosts.add(host);
            mThread.run(() -> host.mReplica.start(host.mStore, host.mExchange::pass));
            mThread.run(
                    () ->
                            host.mStore.read(
                                    StoreTable.SERVERS,
                                    10,
                                    TestRowDecoder.ready("s1", 1),
                                    TestRowDecoder.ready("s2", 2),
                                    TestRowDecoder.ready("s3", 3)));
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (Host host : mHosts) {
            mThread.run(host.mReplica::stop);
            host.mListener.stop();
        }
        mCaller.close();
        mThread.close();
    }

    /** Lets a host know that all others are alive. */
    private void introduce(Host reader) {
        mBeats++;
        for (Host host : mHosts) {
            reader.mMembers.merge(List.of(host.entry(mBeats)), System.nanoTime());
        }
    }

    private void awaitAll(Set<String> usable) throws Exception {
        mThread.await(() -> behind(usable).isEmpty());
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
            mThread.run(() -> reader.mReplica.follow(true));
            mThread.run(
                    () ->
                            reader.mStore.failWait(
                                    StoreTable.SERVERS, StoreException.Reason.HISTORY_LOST));
            mThread.run(
                    () -> {
                        introduce(reader);
                        reader.mStore.read(
                                StoreTable.SERVERS,
                                12,
                                TestRowDecoder.ready("s2", 2),
                                TestRowDecoder.draining("s3", 11));
                    });
            awaitAll(Set.of("s2"));
        }

        @Test
        void areKnownToHostsThatMissedAnEarlierPush() throws Exception {
            Host reader = mHosts.get(0);
            mThread.run(() -> reader.mReplica.follow(true));
            mThread.run(
                    () ->
                            reader.mStore.change(
                                    StoreTable.SERVERS, 11, TestRowDecoder.draining("s3", 11)));
            mThread.run(() -> introduce(reader));
            mThread.await(() -> reader.mStore.waits(StoreTable.SERVERS));
            mThread.run(() -> introduce(reader));
            mThread.run(
                    () ->
                            reader.mStore.change(
                                    StoreTable.SERVERS, 12, TestRowDecoder.draining("s1", 12)));
            awaitAll(Set.of("s2"));
        }
    }
}
