package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class TableFollowerTest {
    private final ScriptedStore mStore = new ScriptedStore();
    private final List<Long> mPositions = new ArrayList<>();
    private XnioWorker mWorker;
    private TableFollower mFollower;

    private final class Positions implements TableFollower.Sink {
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
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
        mFollower =
                new TableFollower(
                        StoreTable.SERVERS,
                        mStore,
                        mWorker.getIoThread(0),
                        new Positions(),
                        EventLog.of("h1"));
        run(mFollower::start);
        run(() -> mStore.read(StoreTable.SERVERS, 10));
    }

    @AfterEach
    void stop() throws Exception {
        run(mFollower::stop);
        mWorker.shutdownNow();
    }

    private void run(Runnable step) throws Exception {
        CompletableFuture.runAsync(step, mWorker.getIoThread(0)).get(20, TimeUnit.SECONDS);
    }

    private boolean waits() throws Exception {
        boolean[] waits = new boolean[1];
        run(() -> waits[0] = mStore.waits(StoreTable.SERVERS));
        return waits[0];
    }

    private void awaitCall() throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!waits() && System.nanoTime() - until < 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(waits()).isTrue();
    }

    @Nested
    class Hosts {
        @Test
        void thatAreNotChosenDoNotWaitForChanges() throws Exception {
            // The pause before a next call has passed when the loop of the thread comes round.
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(waits()).isFalse();
        }

        @Test
        void thatAreChosenLearnLaterChanges() throws Exception {
            run(() -> mFollower.following(true, 10));
            awaitCall();
            run(() -> mStore.change(StoreTable.SERVERS, 11));
            awaitCall();
            run(() -> mStore.change(StoreTable.SERVERS, 12));
            assertThat(mPositions).containsExactly(10L, 11L, 12L);
        }

        @Test
        void thatAreChosenBeforeTheirFirstReadingFollowAfterIt() throws Exception {
            run(mFollower::start);
            run(() -> mFollower.following(true, 0));
            run(() -> mStore.read(StoreTable.SERVERS, 13));
            awaitCall();
        }

        @Test
        void thatStopFollowingDoNotCountTheirLastFailure() throws Exception {
            run(() -> mFollower.following(true, 10));
            awaitCall();
            run(() -> mStore.failWait(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            assertThat(mFollower.lastFailed()).isTrue();
            run(() -> mFollower.following(false, 10));
            assertThat(mFollower.lastFailed()).isFalse();
        }
    }
}
