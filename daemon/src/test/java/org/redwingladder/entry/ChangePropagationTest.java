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
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.RateLimitStatement;
import org.redwingladder.steering.ServerRegistration;

/**
 * Tests that pushed changes reach all hosts of a region. The hosts run without gossip rounds, whose
 * propagation time grows with the number of hosts, so that only pushes and snapshots spread
 * changes.
 */
class ChangePropagationTest {
    /** About twice the hosts of a region in the scaled-up deployments. */
    private static final int HOSTS = 100;

    private final List<Host> mHosts = new ArrayList<>();
    private TestThread mThread;
    private AsyncHttpClient mHttpClient;
    private long mHeartbeats;

    /** A host with a scripted store client. */
    private final class Host {
        private final ScriptedStoreClient mStore = new ScriptedStoreClient();
        private final GossipMembership mMembers;
        private final ServerConditions mConditions;
        private final StoreReplica mReplica;
        private final GossipService mGossip;
        private final Undertow mListener;
        private final String mName;
        private volatile Set<String> mUsable = Set.of();

        Host(String name) {
            mName = name;
            mMembers = GossipMembership.create(name);
            mListener = mThread.listen(this::handle);
            EventLog log = EventLog.of(name);
            mConditions = new ServerConditions(name, log);
            mReplica =
                    new StoreReplica(
                            new TestRowDecoder(),
                            mThread.thread(),
                            log,
                            new ServersListener(this::updateUsable));
            mGossip =
                    new GossipService(
                            TestConfig.host(name, address()),
                            mMembers,
                            mReplica,
                            mConditions,
                            mHttpClient,
                            mThread.thread(),
                            log,
                            new EntryMetrics());
        }

        private void handle(HttpServerExchange exchange) {
            mGossip.handleRequest(exchange);
        }

        private InetSocketAddress address() {
            return (InetSocketAddress) mListener.getListenerInfo().get(0).getAddress();
        }

        HostState entry(long beats) {
            return new HostState(
                    mName,
                    1,
                    beats,
                    "z1",
                    Addresses.format(address()),
                    Addresses.format(TestConfig.UNREACHABLE),
                    true,
                    true,
                    1,
                    Map.of());
        }

        private void updateUsable(Map<String, ServerRegistration> servers) {
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
        mHttpClient = mThread.httpClient();
        for (int i = 0; i < HOSTS; i++) {
            Host host = new Host("h" + i);
            mHosts.add(host);
            mThread.run(() -> host.mReplica.start(host.mStore, host.mGossip::pushChanges));
            mThread.run(
                    () ->
                            host.mStore.completeRead(
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
        mHttpClient.close();
        mThread.close();
    }

    /** Merges the current entries of all hosts into the membership table of one. */
    private void mergeAllMembers(Host reader) {
        mHeartbeats++;
        for (Host host : mHosts) {
            reader.mMembers.merge(List.of(host.entry(mHeartbeats)), System.nanoTime());
        }
    }

    private void awaitAll(Set<String> usable) throws Exception {
        mThread.await(() -> outdatedHosts(usable).isEmpty());
    }

    private List<String> outdatedHosts(Set<String> usable) {
        return mHosts.stream()
                .filter(host -> !host.mUsable.equals(usable))
                .map(host -> host.mName)
                .toList();
    }

    @Nested
    class RemovedAndDrainingServers {
        @Test
        void reachAllHostsIfOneReadsSnapshotAfterCompaction() throws Exception {
            Host reader = mHosts.get(0);
            mThread.run(() -> reader.mReplica.setWatching(true));
            mThread.run(
                    () ->
                            reader.mStore.failPoll(
                                    StoreTable.SERVERS, StoreException.Reason.HISTORY_LOST));
            mThread.run(
                    () -> {
                        mergeAllMembers(reader);
                        reader.mStore.completeRead(
                                StoreTable.SERVERS,
                                12,
                                TestRowDecoder.ready("s2", 2),
                                TestRowDecoder.draining("s3", 11));
                    });
            awaitAll(Set.of("s2"));
        }

        @Test
        void reachHostsThatMissedAnEarlierPush() throws Exception {
            Host reader = mHosts.get(0);
            mThread.run(() -> reader.mReplica.setWatching(true));
            mThread.run(
                    () ->
                            reader.mStore.completePoll(
                                    StoreTable.SERVERS, 11, TestRowDecoder.draining("s3", 11)));
            mThread.run(() -> mergeAllMembers(reader));
            mThread.await(() -> reader.mStore.pollPending(StoreTable.SERVERS));
            mThread.run(() -> mergeAllMembers(reader));
            mThread.run(
                    () ->
                            reader.mStore.completePoll(
                                    StoreTable.SERVERS, 12, TestRowDecoder.draining("s1", 12)));
            awaitAll(Set.of("s2"));
        }
    }

    @Nested
    class RestoredStore {
        /** Hosts kept the rows that the store had lost, whose versions were higher. */
        @Test
        void reachesAllHostsIfOneReadsItAlthoughItsVersionsWentBack() throws Exception {
            Host reader = mHosts.get(0);
            mThread.run(() -> reader.mReplica.setWatching(true));
            mThread.run(() -> reader.mStore.losePollHistory(StoreTable.SERVERS, 2));
            mThread.run(
                    () -> {
                        mergeAllMembers(reader);
                        reader.mStore.completeRead(
                                StoreTable.SERVERS,
                                new StoreVersion(2, 5),
                                TestRowDecoder.ready("s2", 2),
                                TestRowDecoder.draining("s3", 5));
                    });
            // Servers that the copy does not have are kept for 2 s.
            awaitAll(Set.of("s1", "s2"));
            awaitAll(Set.of("s2"));
        }
    }

    @Nested
    class NamedRateLimits {
        private final ServerRegistration mServer =
                new ServerRegistration("s1", "a", "127.0.0.1:1", "z1", 4, false, 1, 0);

        private long informed() {
            return mHosts.stream()
                    .filter(host -> host.mConditions.rateLimits().table().perSecond(mServer) == 5.3)
                    .count();
        }

        /** Without forwarding, most hosts learn a limit seconds later, by gossip. */
        @Test
        void reachNearlyAllHostsByForwarding() throws Exception {
            for (Host host : mHosts) {
                mThread.run(() -> mergeAllMembers(host));
            }
            mThread.run(
                    () ->
                            mHosts.get(0)
                                    .mConditions
                                    .rateLimits()
                                    .recordAnswer(mServer, new RateLimitStatement.Limited(5.3), 1));
            // Each host forwards to five others, so that about one in 150 is missed.
            mThread.await(() -> informed() >= HOSTS * 0.9);
        }
    }
}
