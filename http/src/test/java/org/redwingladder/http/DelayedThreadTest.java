package org.redwingladder.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Methods;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Calls of an I/O thread that gets no processor time for a while. */
class DelayedThreadTest {
    private static final long TIMEOUT_MILLIS = 200;
    private static final long DELAY_MILLIS = 600;

    private ScriptedHttpServer mServer;
    private AsyncHttpClient mClient;

    @BeforeEach
    void start() throws Exception {
        mServer =
                new ScriptedHttpServer(
                        (request, out) -> ScriptedHttpServer.respond(request, out, 200, "answer"));
        mClient = AsyncHttpClient.create(1, new HttpClientLimits(2, 30_000));
    }

    @AfterEach
    void stop() throws Exception {
        mClient.close();
        mServer.close();
    }

    /** Starts a call on the I/O thread, which then does nothing for a while. */
    private BufferedResponse fetch(long connectMillis, long timeoutMillis) throws Exception {
        CompletableFuture<CompletableFuture<BufferedResponse>> call = new CompletableFuture<>();
        mClient.worker()
                .getIoThread(0)
                .execute(
                        () -> {
                            long now = System.nanoTime();
                            call.complete(
                                    mClient.fetch(
                                            CallRequest.of(
                                                            Methods.GET,
                                                            mServer.address(),
                                                            "/",
                                                            now + millis(timeoutMillis))
                                                    .connectDeadlineNanos(
                                                            now + millis(connectMillis))
                                                    .requestId("id")));
                            pause();
                        });
        return call.get(30, TimeUnit.SECONDS).get(30, TimeUnit.SECONDS);
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Nested
    class Deadlines {
        /** Guards against servers that count as unreachable because this process was delayed. */
        @Test
        void spareConnectionsThatOpenedDuringTheDelay() throws Exception {
            assertThat(fetch(TIMEOUT_MILLIS, 20_000).status()).isEqualTo(200);
        }

        /** Guards against answers that are dropped because this process was delayed. */
        @Test
        void spareAnswersThatArrivedDuringTheDelay() throws Exception {
            fetch(20_000, 20_000);
            assertThat(fetch(TIMEOUT_MILLIS, TIMEOUT_MILLIS).status()).isEqualTo(200);
        }
    }
}
