package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A host that takes something else for an outage keeps sending to servers that left. */
class FalseOutageTest {
    private final ScriptedStoreClient mStore = new ScriptedStoreClient();
    private volatile Set<String> mServers = Set.of();
    private TestThread mThread;
    private StoreReplica mReplica;

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        mReplica =
                new StoreReplica(
                        new TestRowDecoder(),
                        mThread.thread(),
                        EventLog.of("h1"),
                        new ServersListener(s -> mServers = Set.copyOf(s.keySet())));
        mThread.run(() -> mReplica.start(mStore, changes -> {}));
        mThread.run(() -> mStore.completeRead(StoreTable.CONTROL, 10));
    }

    @AfterEach
    void stop() throws Exception {
        mThread.run(mReplica::stop);
        mThread.close();
    }

    private void readServers() throws Exception {
        mThread.run(
                () ->
                        mStore.completeRead(
                                StoreTable.SERVERS,
                                10,
                                TestRowDecoder.ready("s1", 1),
                                TestRowDecoder.ready("s2", 2)));
    }

    private void proveByHost() {
        long now = System.nanoTime();
        mReplica.freshness().provenByHost(StoreTable.CONTROL, now);
        mReplica.freshness().provenByHost(StoreTable.SERVERS, now);
    }

    @Nested
    class HeldServers {
        /** Two of its own short calls that are lost minutes apart are no outage. */
        @Test
        void areNoneAfterSingleFailuresWithProofsInBetween() throws Exception {
            readServers();
            for (int i = 0; i < 2; i++) {
                mThread.run(() -> mReplica.callFailed(StoreTable.SERVERS));
                mThread.run(FalseOutageTest.this::proveByHost);
            }
            mThread.run(
                    () -> {
                        mReplica.callSucceeded(StoreTable.SERVERS);
                        mReplica.apply(
                                StoreTable.SERVERS,
                                List.of(TestRowDecoder.removed("s1", 11)),
                                new StoreVersion(0, 11));
                    });
            assertThat(mServers).containsExactly("s2");
        }

        /** The answers of hosts that the store serves prove that it serves them. */
        @Test
        void areNoneAtHostThatTheStoreRejectsWhileOthersProveItsTables() throws Exception {
            readServers();
            mThread.run(() -> mReplica.setWatching(true));
            mThread.run(() -> mStore.failPoll(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            mThread.await(() -> mStore.readPending(StoreTable.SERVERS));
            mThread.run(() -> mStore.failRead(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            mThread.await(() -> mStore.readPending(StoreTable.SERVERS));
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            while (System.nanoTime() - until < 0) {
                mThread.run(FalseOutageTest.this::proveByHost);
                TimeUnit.MILLISECONDS.sleep(100);
            }
            mThread.run(
                    () ->
                            mStore.completeRead(
                                    StoreTable.SERVERS, 12, TestRowDecoder.ready("s2", 2)));
            assertThat(mServers).containsExactly("s2");
        }

        /** A table copied from a host of a release without eras is from no earlier era. */
        @Test
        void areNoneWhenTheFirstEraIsRead() throws Exception {
            mThread.run(
                    () ->
                            mReplica.installSnapshot(
                                    new PeerMessages.TableSnapshot(
                                            StoreTable.SERVERS,
                                            10,
                                            2,
                                            0,
                                            List.of(
                                                    TestRowDecoder.ready("s1", 1),
                                                    TestRowDecoder.ready("s2", 2)),
                                            0)));
            mThread.run(
                    () ->
                            mStore.completeRead(
                                    StoreTable.SERVERS,
                                    new StoreVersion(7, 12),
                                    TestRowDecoder.ready("s2", 2)));
            assertThat(mServers).containsExactly("s2");
        }
    }
}
