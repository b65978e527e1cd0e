package org.redwingladder.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Methods;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AsyncHttpClientTest {
    private static final long PATIENCE_MILLIS = 20_000;

    private final AtomicInteger mNextId = new AtomicInteger();
    private ScriptedHttpServer mBackend;
    private AsyncHttpClient mCaller;

    @BeforeEach
    void start() throws Exception {
        mBackend =
                new ScriptedHttpServer(
                        (request, out) -> ScriptedHttpServer.respond(request, out, 200, "whole"));
        mCaller = AsyncHttpClient.create(2, new HttpClientLimits(2, 30_000));
    }

    @AfterEach
    void stop() throws Exception {
        mCaller.close();
        mBackend.close();
    }

    private CallRequest request(long millis) {
        return CallRequest.of(
                        Methods.POST,
                        mBackend.address(),
                        "/work",
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis))
                .requestId("id" + mNextId.incrementAndGet())
                .body("work".getBytes(ISO_8859_1));
    }

    private String answer() throws Exception {
        BufferedResponse answer = mCaller.ask(request(PATIENCE_MILLIS)).get(30, TimeUnit.SECONDS);
        return new String(answer.body(), ISO_8859_1);
    }

    private CallException failure(CompletableFuture<BufferedResponse> call) throws Exception {
        try {
            BufferedResponse answer = call.get(30, TimeUnit.SECONDS);
            throw new AssertionError("answered: " + new String(answer.body(), ISO_8859_1));
        } catch (ExecutionException e) {
            return (CallException) e.getCause();
        }
    }

    private CallException failure(long millis) throws Exception {
        return failure(mCaller.ask(request(millis)));
    }

    private CallException failure() throws Exception {
        return failure(PATIENCE_MILLIS);
    }

    private void awaitNoConnection() {
        Eventually.until(
                "the connection is closed on both sides",
                () -> mBackend.open() == 0 && mCaller.openConnections(mBackend.address()) == 0);
    }

    private static boolean write(OutputStream out, String text) throws java.io.IOException {
        out.write(text.getBytes(ISO_8859_1));
        return true;
    }

    @Nested
    class Reuse {
        /** Guards against a new connection for each call. */
        @Test
        void takesTheSameConnectionAfterAWholeAnswer() throws Exception {
            for (int i = 0; i < 20; i++) {
                assertThat(answer()).isEqualTo("whole");
            }

            // Each of the two I/O threads may hold one connection.
            assertThat(mBackend.connections()).isLessThanOrEqualTo(2);
        }

        /** Guards against more connections to an address than allowed. */
        @Test
        void refusesACallBeyondTheBoundWithoutSendingIt() throws Exception {
            CountDownLatch release = new CountDownLatch(1);
            mBackend.behave(
                    (request, out) -> {
                        await(release);
                        return ScriptedHttpServer.respond(request, out, 200, "whole");
                    });
            CompletableFuture<BufferedResponse> first = mCaller.ask(request(PATIENCE_MILLIS));
            CompletableFuture<BufferedResponse> second = mCaller.ask(request(PATIENCE_MILLIS));

            CallException refused = failure();
            release.countDown();

            assertThat(refused.neverSent()).isTrue();
            assertThat(first.get(30, TimeUnit.SECONDS).status()).isEqualTo(200);
            assertThat(second.get(30, TimeUnit.SECONDS).status()).isEqualTo(200);
            assertThat(mBackend.journal()).hasSize(2);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Nested
    class BrokenAnswers {
        /** Guards against a cut-off body that is delivered as a whole one. */
        @Test
        void losesABodyThatEndsEarly() throws Exception {
            mBackend.behave(
                    (request, out) -> {
                        write(out, ScriptedHttpServer.head(request.id(), 200, 100) + "half");
                        return false;
                    });

            assertThat(failure()).isInstanceOf(ResponseLostException.class);
            awaitNoConnection();
        }

        /** Guards against a chunked body that lacks its last chunk but is delivered. */
        @Test
        void losesAChunkedBodyThatEndsEarly() throws Exception {
            mBackend.behave(
                    (request, out) -> {
                        write(
                                out,
                                "HTTP/1.1 200 X\r\nRedwing-Request-Id: "
                                        + request.id()
                                        + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
                        return false;
                    });

            assertThat(failure()).isInstanceOf(ResponseLostException.class);
            awaitNoConnection();
        }

        /** Guards against an answer whose end nobody can see. */
        @Test
        void rejectsABodyThatOnlyTheConnectionEnds() throws Exception {
            mBackend.behave(
                    (request, out) -> {
                        write(
                                out,
                                "HTTP/1.1 200 X\r\nRedwing-Request-Id: "
                                        + request.id()
                                        + "\r\n\r\nperhaps half");
                        return false;
                    });

            assertThat(failure()).isInstanceOf(InvalidResponseException.class);
            awaitNoConnection();
        }

        /** Guards against a body that is longer than its stated length and is cut to it. */
        @Test
        void rejectsABodyThatIsLongerThanItsLength() throws Exception {
            mBackend.behave(
                    (request, out) ->
                            write(out, ScriptedHttpServer.head(request.id(), 200, 4) + "longer"));

            assertThat(failure()).isInstanceOf(InvalidResponseException.class);
            awaitNoConnection();
        }

        /** Guards against an answer of another request. */
        @Test
        void rejectsACrossedAnswer() throws Exception {
            mBackend.behave(
                    (request, out) -> write(out, ScriptedHttpServer.head("other", 200, 1) + "x"));

            assertThat(failure()).isInstanceOf(InvalidResponseException.class);
            awaitNoConnection();
        }

        /** Guards against an answer that cannot be told from another request's. */
        @Test
        void rejectsAnAnswerWithoutId() throws Exception {
            mBackend.behave(
                    (request, out) -> write(out, "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx"));

            assertThat(failure()).isInstanceOf(InvalidResponseException.class);
            awaitNoConnection();
        }
    }

    @Nested
    class LateAndSurplusAnswers {
        /** Guards against a late answer that reaches the next call of its connection. */
        @Test
        void closesTheConnectionOfALateAnswer() throws Exception {
            CountDownLatch late = new CountDownLatch(1);
            mBackend.behave(
                    (request, out) -> {
                        await(late);
                        return ScriptedHttpServer.respond(request, out, 200, "late");
                    });

            CallException failure = failure(50);
            Eventually.until(
                    "the connection is given up",
                    () -> mCaller.openConnections(mBackend.address()) == 0);
            mBackend.behave(
                    (request, out) -> ScriptedHttpServer.respond(request, out, 200, "in time"));
            late.countDown();

            assertThat(failure).isInstanceOf(ResponseLostException.class);
            assertThat(answer()).isEqualTo("in time");
            assertThat(mBackend.connections()).isEqualTo(2);
        }

        /** Guards against a second answer that is taken for the answer of the next call. */
        @Test
        void neverTakesASecondAnswerForTheNextCalls() throws Exception {
            Map<Integer, ScriptedHttpServer.Received> before = new ConcurrentHashMap<>();
            mBackend.behave(
                    (request, out) -> {
                        ScriptedHttpServer.Received last =
                                before.put(request.connection(), request);
                        if (last != null) {
                            ScriptedHttpServer.respond(last, out, 200, last.id());
                        }
                        return ScriptedHttpServer.respond(request, out, 200, request.id());
                    });
            int discarded = 0;
            for (int i = 0; i < 20; i++) {
                CallRequest request = request(PATIENCE_MILLIS);
                String body = body(mCaller.ask(request));

                assertThat(body).isIn(request.requestId(), "discarded");
                discarded += body.equals("discarded") ? 1 : 0;
            }
            assertThat(discarded).isPositive();
        }

        private String body(CompletableFuture<BufferedResponse> call) throws Exception {
            try {
                return new String(call.get(30, TimeUnit.SECONDS).body(), ISO_8859_1);
            } catch (ExecutionException e) {
                assertThat(e.getCause()).isInstanceOf(CallException.class);
                return "discarded";
            }
        }
    }

    @Nested
    class NotSent {
        /** Guards against a refused connection that counts as work that may have run. */
        @Test
        void knowsThatARefusedConnectionCarriedNothing() throws Exception {
            mBackend.close();

            assertThat(failure().neverSent()).isTrue();
        }

        /** Guards against work that is sent after its deadline. */
        @Test
        void sendsNothingAfterTheDeadline() throws Exception {
            assertThat(failure(-1).neverSent()).isTrue();
            assertThat(answer()).isEqualTo("whole");
            assertThat(mBackend.journal()).hasSize(1);
        }

        /** Guards against a lost answer that counts as work that did not run. */
        @Test
        void doesNotKnowAfterSending() throws Exception {
            mBackend.behave((request, out) -> false);

            assertThat(failure().neverSent()).isFalse();
            assertThat(mBackend.journal()).hasSize(1);
        }
    }

    @Nested
    class Cancelling {
        /** Guards against cancelled work that goes on because its connection stays open. */
        @Test
        void closesTheConnection() throws Exception {
            CompletableFuture<Boolean> closed = new CompletableFuture<>();
            mBackend.behave(
                    (request, out) -> {
                        closed.complete(endsWithin(request, 5_000));
                        return false;
                    });
            CompletableFuture<CallException> failed = new CompletableFuture<>();
            Call call = mCaller.send(request(PATIENCE_MILLIS), failing(failed));
            Eventually.until("the work arrived", () -> mBackend.journal().size() == 1);

            call.cancel();

            assertThat(failed.get(30, TimeUnit.SECONDS).neverSent()).isFalse();
            assertThat(mCaller.openConnections(mBackend.address())).isZero();
            assertThat(closed.get(30, TimeUnit.SECONDS)).isTrue();
        }

        /** Returns whether the caller ends the connection; its own drain took ten seconds. */
        private boolean endsWithin(ScriptedHttpServer.Received request, int millis) {
            return mBackend.endsWithin(request.connection(), millis);
        }

        private ResponseHandler failing(CompletableFuture<CallException> failed) {
            return new ResponseHandler() {
                @Override
                public void buffered(BufferedResponse answer) {
                    failed.completeExceptionally(new AssertionError("answered"));
                }

                @Override
                public void streamed(StreamedResponse answer) {
                    failed.completeExceptionally(new AssertionError("streamed"));
                }

                @Override
                public void failed(CallException cause) {
                    failed.complete(cause);
                }
            };
        }
    }
}
