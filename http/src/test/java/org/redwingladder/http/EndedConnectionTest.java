package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Methods;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EndedConnectionTest {
    /** What the server does with the idle connection. */
    private enum End {
        CLOSE,
        RESET,
        /** Sends the complete response once more. */
        BYTES
    }

    /** More than the loopback interface takes to deliver the end of a connection. */
    private static final int DELIVERY_MILLIS = 50;

    private final CountDownLatch mEndFirst = new CountDownLatch(1);
    private final CountDownLatch mFirstEnded = new CountDownLatch(1);
    private volatile End mEnd;
    private ScriptedHttpServer mServer;
    private AsyncHttpClient mClient;

    @BeforeEach
    void start() throws Exception {
        mServer =
                new ScriptedHttpServer(
                        (request, out) -> {
                            ScriptedHttpServer.respond(request, out, 200, "complete");
                            return request.connection() > 1 || endFirst(request, out);
                        });
        mClient = AsyncHttpClient.create(1, new HttpClientLimits(1, 30_000));
    }

    @AfterEach
    void stop() throws Exception {
        mEndFirst.countDown();
        mClient.close();
        mServer.close();
    }

    private boolean endFirst(ScriptedHttpServer.Received request, OutputStream out)
            throws IOException {
        await(mEndFirst);
        boolean open =
                switch (mEnd) {
                    case CLOSE -> {
                        out.close();
                        yield false;
                    }
                    case RESET -> {
                        mServer.reset(request.connection());
                        yield false;
                    }
                    case BYTES -> ScriptedHttpServer.respond(request, out, 200, "complete");
                };
        mFirstEnded.countDown();
        return open;
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(30, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private CompletableFuture<BufferedResponse> fetch(String id) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        return mClient.fetch(
                CallRequest.of(Methods.POST, mServer.address(), "/work", deadlineNanos)
                        .requestId(id)
                        .body("work".getBytes(ISO_8859_1)));
    }

    /** Waits for the tasks of a response, of which one returns its connection to the pool. */
    private void awaitIdleConnection() throws Exception {
        CompletableFuture<Void> idle = new CompletableFuture<>();
        ReadyEvents.runAfter(mClient.worker().getIoThread(0), () -> idle.complete(null));
        idle.get(30, TimeUnit.SECONDS);
    }

    /** Sends a call on the I/O thread, which has no moment to read the end of the connection. */
    private CompletableFuture<BufferedResponse> fetchBehindEnd(String id) {
        Executor thread = mClient.worker().getIoThread(0);
        return CompletableFuture.runAsync(
                        () -> {
                            mEndFirst.countDown();
                            await(mFirstEnded);
                            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DELIVERY_MILLIS));
                        },
                        thread)
                .thenCompose(ended -> fetch(id));
    }

    @Nested
    class IdleConnection {
        /**
         * A request that must not be repeated would be lost on a connection whose end had arrived
         * before the request was sent.
         */
        @ParameterizedTest
        @EnumSource
        void thatTheServerEndedCarriesNoRequest(End end) throws Exception {
            mEnd = end;
            fetch("first").get(30, TimeUnit.SECONDS);
            awaitIdleConnection();
            BufferedResponse second = fetchBehindEnd("second").get(30, TimeUnit.SECONDS);
            assertThat(second.status()).isEqualTo(200);
            assertThat(mServer.requestCount("second")).isEqualTo(1);
            assertThat(mClient.openConnections(mServer.address())).isEqualTo(1);
        }
    }
}
