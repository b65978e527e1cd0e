package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableWatcherTest {
    private final ScriptedStoreClient mStore = new ScriptedStoreClient();
    private final List<Long> mPositions = new ArrayList<>();
    private long mEra;
    private @Nullable Error mListenerError;
    private @Nullable RuntimeException mListenerException;
    private TestThread mThread;
    private TableWatcher mWatcher;

    private final class PositionRecorder implements TableWatcher.Listener {
        @Override
        public boolean replace(StoreTable table, List<StoreRow> rows, StoreVersion position) {
            failOnce();
            mPositions.add(position.number());
            return true;
        }

        @Override
        public void apply(StoreTable table, List<StoreRow> rows, StoreVersion position) {
            failOnce();
            mPositions.add(position.number());
        }

        @Override
        public long era() {
            return mEra;
        }

        @Override
        public void eraSeen(long era) {
            mEra = Math.max(mEra, era);
        }

        @Override
        public void earlierEraSeen(StoreTable table, StoreVersion position) {}

        private void failOnce() {
            RuntimeException exception = mListenerException;
            mListenerException = null;
            if (exception != null) {
                throw exception;
            }
            Error error = mListenerError;
            mListenerError = null;
            if (error != null) {
                throw error;
            }
        }

        @Override
        public void callSucceeded(StoreTable table) {}

        @Override
        public void callFailed(StoreTable table) {}

        @Override
        public void watchDisabled(StoreTable table) {}
    }

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        mWatcher =
                new TableWatcher(
                        StoreTable.SERVERS,
                        mStore,
                        mThread.thread(),
                        new PositionRecorder(),
                        EventLog.of("h1"));
        mThread.run(mWatcher::readTable);
        mThread.run(() -> mStore.completeRead(StoreTable.SERVERS, 10));
    }

    @AfterEach
    void stop() throws Exception {
        mThread.run(mWatcher::stop);
        mThread.close();
    }

    private boolean pollPending() {
        return mStore.pollPending(StoreTable.SERVERS);
    }

    @Nested
    class Watch {
        @Test
        void doesNotStartUnlessEnabled() throws Exception {
            // Three times the delay before the next long poll.
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(mThread.call(TableWatcherTest.this::pollPending)).isFalse();
        }

        @Test
        void deliversChangesOnceEnabled() throws Exception {
            mThread.run(() -> mWatcher.setWatching(true, new StoreVersion(0, 10)));
            mThread.await(TableWatcherTest.this::pollPending);
            mThread.run(() -> mStore.completePoll(StoreTable.SERVERS, 11));
            mThread.await(TableWatcherTest.this::pollPending);
            mThread.run(() -> mStore.completePoll(StoreTable.SERVERS, 12));
            assertThat(mPositions).containsExactly(10L, 11L, 12L);
        }

        @Test
        void startsAfterFirstReadIfEnabledBefore() throws Exception {
            mThread.run(mWatcher::readTable);
            mThread.run(() -> mWatcher.setWatching(true, new StoreVersion(0, 0)));
            mThread.run(() -> mStore.completeRead(StoreTable.SERVERS, 13));
            mThread.await(TableWatcherTest.this::pollPending);
        }

        @Test
        void clearsLastFailureWhenDisabled() throws Exception {
            mThread.run(() -> mWatcher.setWatching(true, new StoreVersion(0, 10)));
            mThread.await(TableWatcherTest.this::pollPending);
            mThread.run(() -> mStore.failPoll(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            assertThat(mWatcher.lastFailed()).isTrue();
            mThread.run(() -> mWatcher.setWatching(false, new StoreVersion(0, 10)));
            assertThat(mWatcher.lastFailed()).isFalse();
        }
    }

    @Nested
    class CallsThatAreOutWhenWatchingEnds {
        /** The host would keep what it had before the lost history until others are ahead of it. */
        @Test
        void deliverAReadingAfterLostHistory() throws Exception {
            mThread.run(() -> mWatcher.setWatching(true, new StoreVersion(0, 10)));
            mThread.run(
                    () -> mStore.failPoll(StoreTable.SERVERS, StoreException.Reason.HISTORY_LOST));
            mThread.run(() -> mWatcher.setWatching(false, new StoreVersion(0, 10)));
            mThread.run(() -> mStore.completeRead(StoreTable.SERVERS, 12));
            assertThat(mPositions).containsExactly(10L, 12L);
            assertThat(mWatcher.healthy()).isFalse();
        }

        /** The hosts that follow next may begin after the change. */
        @Test
        void deliverChanges() throws Exception {
            mThread.run(() -> mWatcher.setWatching(true, new StoreVersion(0, 10)));
            mThread.run(() -> mWatcher.setWatching(false, new StoreVersion(0, 10)));
            mThread.run(() -> mStore.completePoll(StoreTable.SERVERS, 11));
            assertThat(mPositions).containsExactly(10L, 11L);
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(mThread.call(TableWatcherTest.this::pollPending)).isFalse();
        }

        @Test
        void doNotCountIfTheyFail() throws Exception {
            mThread.run(() -> mWatcher.setWatching(true, new StoreVersion(0, 10)));
            mThread.run(() -> mWatcher.setWatching(false, new StoreVersion(0, 10)));
            mThread.run(() -> mStore.failPoll(StoreTable.SERVERS, StoreException.Reason.NO_ANSWER));
            assertThat(mWatcher.lastFailed()).isFalse();
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(mThread.call(() -> mStore.readPending(StoreTable.SERVERS))).isFalse();
        }
    }

    @Nested
    class Listeners {
        private void completePollThatFails() throws Exception {
            mThread.run(() -> mWatcher.setWatching(true, new StoreVersion(0, 10)));
            mThread.await(TableWatcherTest.this::pollPending);
            mThread.run(() -> mStore.completePoll(StoreTable.SERVERS, 11));
        }

        private void assertReadsTheTableAgain() throws Exception {
            mThread.await(() -> mStore.readPending(StoreTable.SERVERS));
            mThread.run(() -> mStore.completeRead(StoreTable.SERVERS, 12));
            mThread.await(TableWatcherTest.this::pollPending);
            assertThat(mPositions).containsExactly(10L, 12L);
        }

        /** The host would not notice later changes, such as a server that drains. */
        @Test
        void thatThrowDoNotEndTheWatch() throws Exception {
            mListenerException = new IllegalStateException("odd row");
            completePollThatFails();
            assertReadsTheTableAgain();
        }

        @Test
        void thatOverflowTheStackDoNotEndTheWatch() throws Exception {
            mListenerError = new StackOverflowError();
            completePollThatFails();
            assertReadsTheTableAgain();
        }

        @Test
        void thatThrowAtAWholeReadingDoNotEndTheWatch() throws Exception {
            mThread.run(() -> mWatcher.setWatching(true, new StoreVersion(0, 10)));
            mThread.run(mWatcher::readTable);
            mListenerException = new IllegalStateException("odd row");
            mThread.run(() -> mStore.completeRead(StoreTable.SERVERS, 11));
            assertReadsTheTableAgain();
        }
    }
}
