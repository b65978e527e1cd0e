package org.redwingladder.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

class ReadyEventsTest {
    private static final long DELAY_MILLIS = 100;

    private final List<String> mOrder = new CopyOnWriteArrayList<>();
    private final CountDownLatch mRequest = new CountDownLatch(1);
    private XnioWorker mWorker;
    private XnioIoThread mThread;

    @BeforeEach
    void start() throws Exception {
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
        mThread = mWorker.getIoThread(0);
    }

    @AfterEach
    void stop() {
        mWorker.shutdownNow();
    }

    private void handleRequest() {
        mOrder.add("request");
        mRequest.countDown();
    }

    private void delay() {
        try {
            TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        // The news that arrived in the delay takes as many tasks as a response.
        mThread.execute(() -> mThread.execute(() -> mOrder.add("news")));
    }

    @Nested
    class Requests {
        /** A request that is between two tasks when the delay begins must not overtake the news. */
        @Test
        void areHandledAfterNewsThatArrivesInADelayWhileTheyWait() throws Exception {
            CompletableFuture.runAsync(
                            () -> {
                                ReadyEvents.runAfter(mThread, ReadyEventsTest.this::handleRequest);
                                mThread.execute(ReadyEventsTest.this::delay);
                            },
                            mThread)
                    .get(10, TimeUnit.SECONDS);
            assertThat(mRequest.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(mOrder).containsExactly("news", "request");
        }

        @Test
        void areHandledByAThreadThatIsAlwaysLate() throws Exception {
            Runnable busy =
                    new Runnable() {
                        @Override
                        public void run() {
                            if (mRequest.getCount() > 0) {
                                delay();
                                mThread.execute(this);
                            }
                        }
                    };
            mThread.execute(busy);
            mThread.execute(
                    () -> ReadyEvents.runAfter(mThread, ReadyEventsTest.this::handleRequest));
            assertThat(mRequest.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }
}
