package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.undertow.util.Methods;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SendConditionTest {
    private static final int CALLS = 8;

    /** The time in which the connections open and the news arrives. */
    private static final long DELAY_MILLIS = 300;

    private final AtomicBoolean mValid = new AtomicBoolean(true);
    private final CountDownLatch mNews = new CountDownLatch(1);
    private ScriptedHttpServer mServer;
    private AsyncHttpClient mClient;

    @BeforeEach
    void start() throws Exception {
        mServer =
                new ScriptedHttpServer(
                        (request, out) -> {
                            awaitNews();
                            return ScriptedHttpServer.respond(request, out, 200, "news");
                        });
        mClient = AsyncHttpClient.create(1, new HttpClientLimits(2 * CALLS, 30_000));
    }

    @AfterEach
    void stop() throws Exception {
        mClient.close();
        mServer.close();
    }

    private void awaitNews() {
        try {
            mNews.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private CompletableFuture<BufferedResponse> fetch() {
        return mClient.fetch(
                CallRequest.of(
                                Methods.POST,
                                mServer.address(),
                                "/work",
                                System.nanoTime() + TimeUnit.SECONDS.toNanos(20))
                        .requestId("id")
                        .body("work".getBytes(ISO_8859_1))
                        .sendCondition(mValid::get));
    }

    /** Starts calls on the I/O thread, which then runs a task before it does anything else. */
    private List<CompletableFuture<BufferedResponse>> fetchBefore(Runnable task) throws Exception {
        CompletableFuture<List<CompletableFuture<BufferedResponse>>> started =
                new CompletableFuture<>();
        mClient.worker()
                .getIoThread(0)
                .execute(
                        () -> {
                            List<CompletableFuture<BufferedResponse>> calls = new ArrayList<>();
                            for (int i = 0; i < CALLS; i++) {
                                calls.add(fetch());
                            }
                            task.run();
                            started.complete(calls);
                        });
        return started.get(30, TimeUnit.SECONDS);
    }

    private void assertWithdrawn(List<CompletableFuture<BufferedResponse>> calls) {
        for (CompletableFuture<BufferedResponse> call : calls) {
            assertThatThrownBy(() -> call.get(30, TimeUnit.SECONDS))
                    .cause()
                    .isInstanceOfSatisfying(
                            NotSentException.class,
                            cause ->
                                    assertThat(cause.reason())
                                            .isEqualTo(NotSentException.Cause.WITHDRAWN));
        }
    }

    @Nested
    class Requests {
        /** What was known when the call started may have changed while its connection opened. */
        @Test
        void areNotWrittenIfTheConditionEndedWhileTheConnectionOpened() throws Exception {
            assertWithdrawn(fetchBefore(() -> mValid.set(false)));
            mNews.countDown();
            mValid.set(true);
            assertThat(fetch().get(30, TimeUnit.SECONDS).status()).isEqualTo(200);
            assertThat(mServer.receivedRequests()).hasSize(1);
        }

        /** A delayed thread finds open connections and news at the same time, in any order. */
        @Test
        void areNotWrittenBeforeNewsThatArrivedWhileTheConnectionOpened() throws Exception {
            CompletableFuture<Void> news = fetch().thenAccept(response -> mValid.set(false));
            Eventually.until("the call arrived", () -> mServer.receivedRequests().size() == 1);
            List<CompletableFuture<BufferedResponse>> calls =
                    fetchBefore(
                            () -> {
                                mNews.countDown();
                                pause();
                            });
            news.get(30, TimeUnit.SECONDS);
            assertWithdrawn(calls);
            assertThat(mServer.receivedRequests()).hasSize(1);
        }
    }
}
