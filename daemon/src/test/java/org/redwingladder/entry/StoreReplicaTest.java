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
                        List.of(TestRowDecoder.removed(server, 11)),
                        0,
                        0,
                        false);
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
                            List.of(TestRowDecoder.removed("s3", after + 1)),
                            0,
                            0,
                            false);
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
            assertThat(
                            mThread.call(
                                    () ->
                                            mReplica.snapshotsAfter(
                                                    Map.of(
                                                            StoreTable.SERVERS,
                                                            new StoreVersion(0, 10)))))
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

    /** Hosts kept replaced rows until the versions of a returned store had passed theirs. */
    @Nested
    class RestoredStore {
        private static final StoreVersion COPY = new StoreVersion(2, 5);

        /** Brings the store to the first era, at the position 10. */
        @BeforeEach
        void stateEra() throws Exception {
            restore(
                    new StoreVersion(1, 10),
                    TestRowDecoder.ready("s1", 1),
                    TestRowDecoder.ready("s2", 2));
            mThread.run(mPublished::clear);
        }

        /** Loses the history of the table of servers with a later era, and reads both tables. */
        private void restore(StoreVersion position, StoreRow... rows) throws Exception {
            mThread.await(() -> mStore.pollPending(StoreTable.SERVERS));
            mThread.run(() -> mStore.losePollHistory(StoreTable.SERVERS, position.era()));
            awaitRead();
            assertThat(mThread.call(() -> mStore.readPending(StoreTable.CONTROL))).isTrue();
            mThread.run(() -> mStore.completeRead(StoreTable.CONTROL, position));
            mThread.run(() -> mStore.completeRead(StoreTable.SERVERS, position, rows));
        }

        private boolean push(StoreVersion after, StoreVersion position, StoreRow... rows)
                throws Exception {
            PeerMessages.TableChanges changes =
                    new PeerMessages.TableChanges(
                            StoreTable.SERVERS,
                            after.number(),
                            position.number(),
                            0,
                            List.of(rows),
                            after.era(),
                            position.era(),
                            false);
            return mThread.call(() -> mReplica.applyPushed(changes));
        }

        @Test
        void isReadAndPublishedAlthoughItsVersionsWentBack() throws Exception {
            restore(
                    COPY,
                    TestRowDecoder.ready("s1", 1),
                    TestRowDecoder.ready("s2", 2),
                    TestRowDecoder.ready("s3", 5));
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2", "s3");
            assertThat(mThread.call(() -> List.copyOf(mPublished)))
                    .singleElement()
                    .satisfies(
                            changes -> {
                                assertThat(changes.afterVersion())
                                        .isEqualTo(new StoreVersion(1, 10));
                                assertThat(changes.version()).isEqualTo(COPY);
                                assertThat(changes.rows())
                                        .extracting(StoreRow::key)
                                        .containsExactly("s3");
                            });
        }

        @Test
        void isReadInsteadOfApplyingChangesOfALaterEra() throws Exception {
            mThread.await(() -> mStore.pollPending(StoreTable.SERVERS));
            mThread.run(
                    () ->
                            mStore.completePoll(
                                    StoreTable.SERVERS,
                                    new StoreVersion(2, 12),
                                    TestRowDecoder.ready("s9", 12)));
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            awaitRead();
        }

        @Test
        void isReadAtOnceWhenAPeerHasALaterEra() throws Exception {
            mThread.await(() -> mStore.pollPending(StoreTable.SERVERS));
            mThread.run(() -> mReplica.peerVersionSeen(StoreTable.CONTROL, COPY));
            assertThat(mThread.call(() -> mStore.readPending(StoreTable.SERVERS))).isTrue();
        }

        @Test
        void isNotFollowedByRowsOfTheEarlierEra() throws Exception {
            restore(COPY, TestRowDecoder.ready("s1", 1), TestRowDecoder.ready("s2", 2));
            StoreVersion late = new StoreVersion(1, 900);
            assertThat(push(new StoreVersion(1, 10), late, TestRowDecoder.ready("s9", 900)))
                    .isTrue();
            mThread.run(
                    () ->
                            mReplica.installSnapshot(
                                    new PeerMessages.TableSnapshot(
                                            StoreTable.SERVERS,
                                            900,
                                            900,
                                            0,
                                            List.of(TestRowDecoder.ready("s9", 900)),
                                            1)));
            mThread.await(() -> mStore.pollPending(StoreTable.SERVERS));
            mThread.run(
                    () ->
                            mStore.completePoll(
                                    StoreTable.SERVERS, late, TestRowDecoder.ready("s9", 900)));
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            awaitRead();
            mThread.run(
                    () ->
                            mStore.completeRead(
                                    StoreTable.SERVERS, late, TestRowDecoder.ready("s9", 900)));
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            // The answer is used for nothing, and the reading is repeated.
            awaitRead();
        }

        @Test
        void isTakenFromAPushOnlyAtThePositionOfTheDifference() throws Exception {
            assertThat(push(new StoreVersion(1, 9), COPY, TestRowDecoder.ready("s3", 5))).isFalse();
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            assertThat(push(new StoreVersion(1, 10), COPY, TestRowDecoder.ready("s3", 5))).isTrue();
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2", "s3");
        }

        @Test
        void isReadWhenAHostOfAnEarlierBuildMayBeAhead() throws Exception {
            mThread.run(() -> mReplica.setWatching(false));
            assertThat(
                            push(
                                    new StoreVersion(0, 10),
                                    new StoreVersion(0, 11),
                                    TestRowDecoder.ready("s9", 11)))
                    .isTrue();
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            assertThat(mThread.call(() -> mStore.readPending(StoreTable.SERVERS))).isTrue();
        }

        /** Servers that the copy does not have may be running and write their rows again. */
        @Test
        void keepsServersThatAreMissingForAWhile() throws Exception {
            restore(COPY, TestRowDecoder.ready("s1", 1));
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            awaitServers("s1");
        }

        @Test
        void doesNotBringBackServersThatHadLeft() throws Exception {
            mThread.await(() -> mStore.pollPending(StoreTable.SERVERS));
            mThread.run(
                    () ->
                            mStore.completePoll(
                                    StoreTable.SERVERS,
                                    new StoreVersion(1, 40),
                                    TestRowDecoder.removed("s2", 40)));
            awaitServers("s1");
            restore(COPY, TestRowDecoder.ready("s1", 1), TestRowDecoder.ready("s2", 2));
            assertThat(mServers).containsExactly("s1");
            mThread.await(() -> mStore.pollPending(StoreTable.SERVERS));
            mThread.run(
                    () ->
                            mStore.completePoll(
                                    StoreTable.SERVERS,
                                    new StoreVersion(2, 6),
                                    TestRowDecoder.ready("s2", 6)));
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
        }
    }
}
