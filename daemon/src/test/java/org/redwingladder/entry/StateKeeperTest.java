package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.steering.ServerEntry;
import org.redwingladder.steering.SteeringSettings;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class StateKeeperTest {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final ScriptedStore mStore = new ScriptedStore();
    private final List<PeerMessages.Changes> mPassed = new ArrayList<>();
    private volatile Set<String> mServers = Set.of();
    private XnioWorker mWorker;
    private StateKeeper mKeeper;

    /** Reads the state of a server from its row. */
    private static final class Rows implements RowCodec {
        @Override
        public ControlRow control(String key, byte[] value) {
            return new ControlRow.Evacuation(key);
        }

        @Override
        public ServerEntry server(String key, byte[] value, long nowNanos) {
            boolean draining = new String(value, UTF_8).equals("draining");
            return new ServerEntry(key, "a", "10.0.0.1:80", "z1", 4, draining, 1, 0);
        }
    }

    private final class Believed implements StateKeeper.Receiver {
        @Override
        public void settings(SteeringSettings settings) {}

        @Override
        public void evacuated(Set<String> zones) {}

        @Override
        public void servers(Map<String, ServerEntry> servers) {
            mServers = Set.copyOf(servers.keySet());
        }
    }

    @BeforeEach
    void start() throws Exception {
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
        mKeeper =
                new StateKeeper(
                        new Rows(), mWorker.getIoThread(0), EventLog.of("h1"), new Believed());
        run(() -> mKeeper.start(mStore, mPassed::add));
        run(() -> mStore.read(StoreTable.CONTROL, 10));
        run(() -> mStore.read(StoreTable.SERVERS, 10, row("s1", 1), row("s2", 2)));
        run(() -> mKeeper.follow(true));
    }

    @AfterEach
    void stop() throws Exception {
        run(mKeeper::stop);
        mWorker.shutdownNow();
    }

    private static StoreRow row(String key, long version) {
        return new StoreRow(key, version, "ready".getBytes(UTF_8));
    }

    private static StoreRow removed(String key, long version) {
        return new StoreRow(key, version, null);
    }

    /** Runs a step on the thread that owns the state. */
    private void run(Runnable step) throws Exception {
        call(
                () -> {
                    step.run();
                    return true;
                });
    }

    private <T> T call(Callable<T> step) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        mWorker.getIoThread(0)
                .execute(
                        () -> {
                            try {
                                result.complete(step.call());
                            } catch (Exception | AssertionError e) {
                                result.completeExceptionally(e);
                            }
                        });
        return result.get(20, TimeUnit.SECONDS);
    }

    private void awaitServers(String... ids) throws InterruptedException {
        long until = System.nanoTime() + LIMIT_NANOS;
        while (!mServers.equals(Set.of(ids)) && System.nanoTime() - until < 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(mServers).containsExactlyInAnyOrder(ids);
    }

    private void awaitReading() throws Exception {
        long until = System.nanoTime() + LIMIT_NANOS;
        while (!call(() -> mStore.reads(StoreTable.SERVERS)) && System.nanoTime() - until < 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(call(() -> mStore.reads(StoreTable.SERVERS))).isTrue();
    }

    private boolean pushed(long after, long position, long holdMillis, StoreRow... rows)
            throws Exception {
        PeerMessages.Changes changes =
                new PeerMessages.Changes(
                        StoreTable.SERVERS, after, position, holdMillis, List.of(rows));
        return call(() -> mKeeper.passed(changes));
    }

    @Nested
    class LeftServers {
        @Test
        void areDroppedByAHostWhoseOwnLastCallFailed() throws Exception {
            run(() -> mStore.failWait(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            awaitReading();
            run(() -> mStore.failRead(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            run(() -> mKeeper.follow(false));
            assertThat(pushed(10, 11, 0, removed("s1", 11))).isTrue();
            awaitServers("s2");
        }

        @Test
        void areNotHeldAfterASingleFailedCall() throws Exception {
            run(() -> mStore.failWait(StoreTable.SERVERS, StoreException.Reason.NO_ANSWER));
            awaitReading();
            run(() -> mStore.read(StoreTable.SERVERS, 12, row("s2", 2)));
            assertThat(mServers).containsExactly("s2");
        }

        @Test
        void areHeldNoLongerThanTheHostThatToldOfThemWaits() throws Exception {
            assertThat(pushed(10, 11, 200, removed("s1", 11))).isTrue();
            assertThat(mServers).containsExactlyInAnyOrder("s1", "s2");
            awaitServers("s2");
        }

        @Test
        void areNotHeldAnewByNewsOfAnotherHost() throws Exception {
            run(() -> mStore.failWait(StoreTable.SERVERS, StoreException.Reason.REFUSED));
            run(() -> mKeeper.follow(false));
            assertThat(pushed(10, 11, 100, removed("s1", 11))).isTrue();
            awaitServers("s2");
            assertThat(call(() -> mKeeper.copies(Map.of(StoreTable.SERVERS, 10L))))
                    .filteredOn(copy -> copy.table() == StoreTable.SERVERS)
                    .extracting(PeerMessages.TableCopy::holdMillis)
                    .containsExactly(0L);
        }
    }

    @Nested
    class News {
        @Test
        void foundByReadingTheTableAnewIsPassedOn() throws Exception {
            run(() -> mStore.failWait(StoreTable.SERVERS, StoreException.Reason.HISTORY_LOST));
            run(() -> mStore.read(StoreTable.SERVERS, 12, row("s2", 2), row("s3", 11)));
            assertThat(call(() -> List.copyOf(mPassed)))
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
