package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreReplicaTest {
    private final ScriptedStoreClient mStore = new ScriptedStoreClient();
    private final List<PeerMessages.TableChanges> mPassed = new ArrayList<>();
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
        mThread.run(() -> mReplica.start(mStore, mPassed::add));
        mThread.run(() -> mStore.read(StoreTable.CONTROL, 10));
        mThread.run(
                () ->
                        mStore.read(
                                StoreTable.SERVERS,
                                10,
                                TestRowDecoder.ready("s1", 1),
                                TestRowDecoder.ready("s2", 2)));
        mThread.run(() -> mReplica.follow(true));
    }

    @AfterEach
    void stop() throws Exception {
        mThread.run(mReplica::stop);
        mThread.close();
    }

    private void fail(StoreException.Reason reason) throws Exception {
        mThread.run(() -> mStore.failWait(StoreTable.SERVERS, reason));
    }

    private void awaitReading() throws Exception {
        mThread.await(() -> mStore.reads(StoreTable.SERVERS));
    }

    private void awaitServers(String... ids) throws Exception {
        mThread.await(() -> mServers.equals(Set.of(ids)));
    }

    /** Lets another host push that a server is gone, which it holds for the given time. */
    private boolean pushRemoval(String server, long holdMillis) throws Exception {
        PeerMessages.TableChanges changes =
                new PeerMessages.TableChanges(
                        StoreTable.SERVERS,
                        10,
                        11,
                        holdMillis,
                        List.of(TestRowDecoder.removed(server, 11)));
        return mThread.call(() -> mReplica.passed(changes));
    }

    @Nested
    class LeftServers {
        @Test
        void areDroppedByAHostWhoseOwnLastCallFailed() throws Exception {
            fail(StoreException.Reason.REFUSED);
            awaitReading();
            mThread.run(() -> mStore.failRead(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            mThread.run(() -> mReplica.follow(false));
            assertThat(pushRemoval("s1", 0)).isTrue();
            awaitServers("s2");
        }

        @Test
        void areNotHeldAfterASingleFailedCall() throws Exception {
            fail(StoreException.Reason.NO_ANSWER);
            awaitReading();
            mThread.run(() -> mStore.read(StoreTable.SERVERS, 12, TestRowDecoder.ready("s2", 2)));
            assertThat(mServers).containsExactly("s2");
        }

        @Test
        void areHeldNoLongerThanTheHostThatToldOfThemWaits() throws Exception {
            assertThat(pushRemoval("s1", 200)).isTrue();
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            awaitServers("s2");
        }

        @Test
        void areNotHeldAnewByNewsOfAnotherHost() throws Exception {
            fail(StoreException.Reason.REFUSED);
            mThread.run(() -> mReplica.follow(false));
            assertThat(pushRemoval("s1", 100)).isTrue();
            awaitServers("s2");
            assertThat(mThread.call(() -> mReplica.copies(Map.of(StoreTable.SERVERS, 10L))))
                    .filteredOn(copy -> copy.table() == StoreTable.SERVERS)
                    .extracting(PeerMessages.TableSnapshot::holdMillis)
                    .containsExactly(0L);
        }
    }

    @Nested
    class News {
        @Test
        void foundByReadingTheTableAnewIsPassedOn() throws Exception {
            fail(StoreException.Reason.HISTORY_LOST);
            mThread.run(
                    () ->
                            mStore.read(
                                    StoreTable.SERVERS,
                                    12,
                                    TestRowDecoder.ready("s2", 2),
                                    TestRowDecoder.ready("s3", 11)));
            assertThat(mThread.call(() -> List.copyOf(mPassed)))
                    .singleElement()
                    .satisfies(
                            changes -> {
                                assertThat(changes.after()).isEqualTo(10);
                                assertThat(changes.position()).isEqualTo(12);
                                assertThat(changes.rows())
                                        .extracting(StoreRow::key, row -> row.value() == null)
                                        .containsExactlyInAnyOrder(
                                                tuple("s1", true), tuple("s3", false));
                            });
        }
    }
}
