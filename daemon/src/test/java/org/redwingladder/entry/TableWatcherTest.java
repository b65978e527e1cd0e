package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableWatcherTest {
    private final ScriptedStoreClient mStore = new ScriptedStoreClient();
    private final List<Long> mPositions = new ArrayList<>();
    private TestThread mThread;
    private TableWatcher mWatcher;

    private final class Positions implements TableWatcher.Sink {
        @Override
        public boolean replace(StoreTable table, List<StoreRow> rows, long position) {
            mPositions.add(position);
            return true;
        }

        @Override
        public void changes(StoreTable table, List<StoreRow> rows, long position) {
            mPositions.add(position);
        }

        @Override
        public void answered(StoreTable table) {}

        @Override
        public void failed(StoreTable table) {}

        @Override
        public void notAsked(StoreTable table) {}
    }

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        mWatcher =
                new TableWatcher(
                        StoreTable.SERVERS,
                        mStore,
                        mThread.thread(),
                        new Positions(),
                        EventLog.of("h1"));
        mThread.run(mWatcher::start);
        mThread.run(() -> mStore.read(StoreTable.SERVERS, 10));
    }

    @AfterEach
    void stop() throws Exception {
        mThread.run(mWatcher::stop);
        mThread.close();
    }

    private boolean waits() {
        return mStore.waits(StoreTable.SERVERS);
    }

    @Nested
    class Hosts {
        @Test
        void thatAreNotChosenDoNotWaitForChanges() throws Exception {
            // Three times the pause before a next call.
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(mThread.call(TableWatcherTest.this::waits)).isFalse();
        }

        @Test
        void thatAreChosenLearnLaterChanges() throws Exception {
            mThread.run(() -> mWatcher.following(true, 10));
            mThread.await(TableWatcherTest.this::waits);
            mThread.run(() -> mStore.change(StoreTable.SERVERS, 11));
            mThread.await(TableWatcherTest.this::waits);
            mThread.run(() -> mStore.change(StoreTable.SERVERS, 12));
            assertThat(mPositions).containsExactly(10L, 11L, 12L);
        }

        @Test
        void thatAreChosenBeforeTheirFirstReadingFollowAfterIt() throws Exception {
            mThread.run(mWatcher::start);
            mThread.run(() -> mWatcher.following(true, 0));
            mThread.run(() -> mStore.read(StoreTable.SERVERS, 13));
            mThread.await(TableWatcherTest.this::waits);
        }

        @Test
        void thatStopFollowingDoNotCountTheirLastFailure() throws Exception {
            mThread.run(() -> mWatcher.following(true, 10));
            mThread.await(TableWatcherTest.this::waits);
            mThread.run(() -> mStore.failWait(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            assertThat(mWatcher.lastFailed()).isTrue();
            mThread.run(() -> mWatcher.following(false, 10));
            assertThat(mWatcher.lastFailed()).isFalse();
        }
    }
}
