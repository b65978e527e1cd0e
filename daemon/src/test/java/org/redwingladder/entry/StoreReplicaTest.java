package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreReplicaTest {
    private final ScriptedStoreClient mStore = new ScriptedStoreClient();
    private final List<PeerMessages.TableChanges> mPublished = new ArrayList<>();
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
        mThread.run(() -> mReplica.start(mStore, mPublished::add));
        mThread.run(() -> mStore.completeRead(StoreTable.CONTROL, 10));
        mThread.run(
                () ->
                        mStore.completeRead(
                                StoreTable.SERVERS,
                                10,
                                TestRowDecoder.ready("s1", 1),
                                TestRowDecoder.ready("s2", 2)));
        mThread.run(() -> mReplica.setWatching(true));
    }

    @AfterEach
    void stop() throws Exception {
        mThread.run(mReplica::stop);
        mThread.close();
    }

    private void fail(StoreException.Reason reason) throws Exception {
        mThread.run(() -> mStore.failPoll(StoreTable.SERVERS, reason));
    }

    private void awaitRead() throws Exception {
        mThread.await(() -> mStore.readPending(StoreTable.SERVERS));
    }

    private void awaitServers(String... ids) throws Exception {
        mThread.await(() -> mServers.equals(Set.of(ids)));
    }

    /** Applies a peer's push of a server's removal, with the remaining hold time of the peer. */
    private boolean pushRemoval(String server, long holdMillis) throws Exception {
        PeerMessages.TableChanges changes =
                new PeerMessages.TableChanges(
                        StoreTable.SERVERS,
                        10,
                        11,
                        holdMillis,
                        List.of(TestRowDecoder.removed(server, 11)));
        return mThread.call(() -> mReplica.applyPushed(changes));
    }

    @Nested
    class RemovedServers {
        @Test
        void areDroppedAtOnceByHostThatStopsWatchingAfterFailedCalls() throws Exception {
            fail(StoreException.Reason.REFUSED);
            awaitRead();
            mThread.run(() -> mStore.failRead(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            mThread.run(() -> mReplica.setWatching(false));
            assertThat(pushRemoval("s1", 0)).isTrue();
            awaitServers("s2");
        }

        @Test
        void areDroppedAtOnceByHostThatTheStoreRejectedAlone() throws Exception {
            fail(StoreException.Reason.REFUSED);
            awaitRead();
            mThread.run(() -> mStore.failRead(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            awaitRead();
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            long position = 10;
            while (System.nanoTime() - until < 0) {
                pushOther(position++);
                TimeUnit.MILLISECONDS.sleep(100);
            }
            long last = position + 1;
            mThread.run(
                    () ->
                            mStore.completeRead(
                                    StoreTable.SERVERS, last, TestRowDecoder.ready("s2", 2)));
            assertThat(mServers).containsExactly("s2");
        }

        private void pushOther(long after) throws Exception {
            PeerMessages.TableChanges changes =
                    new PeerMessages.TableChanges(
                            StoreTable.SERVERS,
                            after,
                            after + 1,
                            0,
                            List.of(TestRowDecoder.removed("s3", after + 1)));
            assertThat(mThread.call(() -> mReplica.applyPushed(changes))).isTrue();
        }

        @Test
        void areNotHeldAfterSingleFailedCall() throws Exception {
            fail(StoreException.Reason.NO_ANSWER);
            awaitRead();
            mThread.run(
                    () ->
                            mStore.completeRead(
                                    StoreTable.SERVERS, 12, TestRowDecoder.ready("s2", 2)));
            assertThat(mServers).containsExactly("s2");
        }

        @Test
        void areHeldForRemainingHoldTimeOfPushingPeer() throws Exception {
            assertThat(pushRemoval("s1", 200)).isTrue();
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            awaitServers("s2");
        }

        @Test
        void doNotExtendHoldWhenPushed() throws Exception {
            fail(StoreException.Reason.REFUSED);
            mThread.run(() -> mReplica.setWatching(false));
            assertThat(pushRemoval("s1", 100)).isTrue();
            awaitServers("s2");
            assertThat(mThread.call(() -> mReplica.snapshotsAfter(Map.of(StoreTable.SERVERS, 10L))))
                    .filteredOn(snapshot -> snapshot.table() == StoreTable.SERVERS)
                    .extracting(PeerMessages.TableSnapshot::holdMillis)
                    .containsExactly(0L);
        }
    }

    @Nested
    class Changes {
        @Test
        void foundBySnapshotAfterCompactionArePublished() throws Exception {
            fail(StoreException.Reason.HISTORY_LOST);
            mThread.run(
                    () ->
                            mStore.completeRead(
                                    StoreTable.SERVERS,
                                    12,
                                    TestRowDecoder.ready("s2", 2),
                                    TestRowDecoder.ready("s3", 11)));
            assertThat(mThread.call(() -> List.copyOf(mPublished)))
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

    @Nested
    class OddRows {
        /** One entry of another writer must not hide the changes of the others. */
        @Test
        void areIgnoredWhateverTheDecoderThrows() throws Exception {
            mThread.run(
                    () ->
                            mStore.completePoll(
                                    StoreTable.SERVERS,
                                    13,
                                    TestRowDecoder.removed("s1", 11),
                                    TestRowDecoder.throwing("odd1", 12),
                                    TestRowDecoder.overflowing("odd2", 13)));
            awaitServers("s2");
            mThread.await(() -> mStore.pollPending(StoreTable.SERVERS));
            mThread.run(
                    () ->
                            mStore.completePoll(
                                    StoreTable.SERVERS, 14, TestRowDecoder.ready("s3", 14)));
            awaitServers("s2", "s3");
        }
    }
}
