package org.redwingladder.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.undertow.util.Methods;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoppedListenerTest {
    private final CountDownLatch mArrived = new CountDownLatch(1);
    private final CountDownLatch mReleased = new CountDownLatch(1);
    private ScriptedHttpServer mServer;
    private AsyncHttpClient mClient;

    @BeforeEach
    void start() throws Exception {
        mServer =
                new ScriptedHttpServer(
                        (request, out) -> {
                            if (request.path().equals("/held")) {
                                mArrived.countDown();
                                await(mReleased);
                            }
                            return ScriptedHttpServer.respond(request, out, 200, "");
                        });
        mClient = AsyncHttpClient.create(1, new HttpClientLimits(4, 5_000, 1 << 20));
    }

    @AfterEach
    void stop() throws Exception {
        mReleased.countDown();
        mClient.close();
        mServer.close();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletableFuture<BufferedResponse> fetch(String path) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        return mClient.fetch(CallRequest.of(Methods.GET, mServer.address(), path, deadline));
    }

    private void assertNotListening(CompletableFuture<BufferedResponse> call) {
        assertThatThrownBy(() -> call.get(10, TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class)
                .cause()
                .isInstanceOfSatisfying(
                        NotSentException.class,
                        e ->
                                assertThat(e.reason())
                                        .isEqualTo(NotSentException.Cause.NOT_LISTENING));
    }

    @Nested
    class KeptConnections {
        /**
         * A response on such a connection would be taken for one of a process that has returned.
         */
        @Test
        void areNotReusedAfterTheServerStoppedListening() throws Exception {
            CompletableFuture<BufferedResponse> held = fetch("/held");
            await(mArrived);
            mServer.stopListening();
            assertNotListening(fetch("/second"));
            mReleased.countDown();
            assertThat(held.get(10, TimeUnit.SECONDS).status()).isEqualTo(200);
            assertNotListening(fetch("/third"));
        }
    }
}
