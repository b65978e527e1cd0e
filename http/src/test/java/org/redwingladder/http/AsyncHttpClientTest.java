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
    private static final long TIMEOUT_MILLIS = 20_000;

    private final AtomicInteger mNextId = new AtomicInteger();
    private ScriptedHttpServer mServer;
    private AsyncHttpClient mClient;

    @BeforeEach
    void start() throws Exception {
        mServer =
                new ScriptedHttpServer(
                        (request, out) ->
                                ScriptedHttpServer.respond(request, out, 200, "complete"));
        mClient = AsyncHttpClient.create(2, new HttpClientLimits(2, 30_000));
    }

    @AfterEach
    void stop() throws Exception {
        mClient.close();
        mServer.close();
    }

    private CallRequest request(long millis) {
        return CallRequest.of(
                        Methods.POST,
                        mServer.address(),
                        "/work",
                        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis))
                .requestId("id" + mNextId.incrementAndGet())
                .body("work".getBytes(ISO_8859_1));
    }

    private String fetchBody() throws Exception {
        BufferedResponse response =
                mClient.fetch(request(TIMEOUT_MILLIS)).get(30, TimeUnit.SECONDS);
        return new String(response.body(), ISO_8859_1);
    }

    private CallException failure(CompletableFuture<BufferedResponse> call) throws Exception {
        try {
            BufferedResponse response = call.get(30, TimeUnit.SECONDS);
            throw new AssertionError(
                    "unexpected response: " + new String(response.body(), ISO_8859_1));
        } catch (ExecutionException e) {
            return (CallException) e.getCause();
        }
    }

    private CallException failure(long millis) throws Exception {
        return failure(mClient.fetch(request(millis)));
    }

    private CallException failure() throws Exception {
        return failure(TIMEOUT_MILLIS);
    }

    private void awaitNoConnection() {
        Eventually.until(
                "the connection is closed on both sides",
                () ->
                        mServer.openConnections() == 0
                                && mClient.openConnections(mServer.address()) == 0);
    }

    private static boolean write(OutputStream out, String text) throws java.io.IOException {
        out.write(text.getBytes(ISO_8859_1));
        return true;
    }

    @Nested
    class Reuse {
        /** Guards against a new connection for each call. */
        @Test
        void reusesTheConnectionAfterACompleteResponse() throws Exception {
            for (int i = 0; i < 20; i++) {
                assertThat(fetchBody()).isEqualTo("complete");
            }

            // One connection for each of the two I/O threads.
            assertThat(mServer.acceptedConnections()).isLessThanOrEqualTo(2);
        }

        /** Guards against more open connections to an address than the limit. */
        @Test
        void rejectsACallBeyondTheConnectionLimitWithoutSendingIt() throws Exception {
            CountDownLatch release = new CountDownLatch(1);
            mServer.setHandler(
                    (request, out) -> {
                        await(release);
                        return ScriptedHttpServer.respond(request, out, 200, "complete");
                    });
            CompletableFuture<BufferedResponse> first = mClient.fetch(request(TIMEOUT_MILLIS));
            CompletableFuture<BufferedResponse> second = mClient.fetch(request(TIMEOUT_MILLIS));

            CallException refused = failure();
            release.countDown();

            assertThat(refused.neverSent()).isTrue();
            assertThat(first.get(30, TimeUnit.SECONDS).status()).isEqualTo(200);
            assertThat(second.get(30, TimeUnit.SECONDS).status()).isEqualTo(200);
            assertThat(mServer.receivedRequests()).hasSize(2);
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
    class InvalidResponses {
        /** Guards against a truncated body that is delivered as complete. */
        @Test
        void failsOnABodyShorterThanItsContentLength() throws Exception {
            mServer.setHandler(
                    (request, out) -> {
                        write(out, ScriptedHttpServer.head(request.id(), 200, 100) + "half");
                        return false;
                    });

            assertThat(failure()).isInstanceOf(ResponseLostException.class);
            awaitNoConnection();
        }

        /** Guards against a chunked body without its last chunk that is delivered as complete. */
        @Test
        void failsOnAChunkedBodyWithoutLastChunk() throws Exception {
            mServer.setHandler(
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

        /** Guards against a response whose truncation could not be detected. */
        @Test
        void rejectsACloseDelimitedBody() throws Exception {
            mServer.setHandler(
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

        /** Guards against delivering a body that continues beyond its Content-Length. */
        @Test
        void rejectsABodyLongerThanItsContentLength() throws Exception {
            mServer.setHandler(
                    (request, out) ->
                            write(out, ScriptedHttpServer.head(request.id(), 200, 4) + "longer"));

            assertThat(failure()).isInstanceOf(InvalidResponseException.class);
            awaitNoConnection();
        }

        /** Guards against delivering the response of another request. */
        @Test
        void rejectsAResponseWithAnotherRequestId() throws Exception {
            mServer.setHandler(
                    (request, out) -> write(out, ScriptedHttpServer.head("other", 200, 1) + "x"));

            assertThat(failure()).isInstanceOf(InvalidResponseException.class);
            awaitNoConnection();
        }

        /** Guards against delivering a response that may be that of another request. */
        @Test
        void rejectsAResponseWithoutRequestId() throws Exception {
            mServer.setHandler(
                    (request, out) -> write(out, "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx"));

            assertThat(failure()).isInstanceOf(InvalidResponseException.class);
            awaitNoConnection();
        }
    }

    @Nested
    class LateAndDuplicateResponses {
        /** Guards against a response after the timeout that is delivered to the next call. */
        @Test
        void closesTheConnectionOfACallThatTimedOut() throws Exception {
            CountDownLatch late = new CountDownLatch(1);
            mServer.setHandler(
                    (request, out) -> {
                        await(late);
                        return ScriptedHttpServer.respond(request, out, 200, "late");
                    });

            CallException failure = failure(50);
            Eventually.until(
                    "the connection is closed",
                    () -> mClient.openConnections(mServer.address()) == 0);
            mServer.setHandler(
                    (request, out) -> ScriptedHttpServer.respond(request, out, 200, "in time"));
            late.countDown();

            assertThat(failure).isInstanceOf(ResponseLostException.class);
            assertThat(fetchBody()).isEqualTo("in time");
            assertThat(mServer.acceptedConnections()).isEqualTo(2);
        }

        /** Guards against a duplicate response that is delivered to the next call. */
        @Test
        void neverDeliversADuplicateResponseToTheNextCall() throws Exception {
            Map<Integer, ScriptedHttpServer.Received> before = new ConcurrentHashMap<>();
            mServer.setHandler(
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
                CallRequest request = request(TIMEOUT_MILLIS);
                String body = body(mClient.fetch(request));

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
        /** Guards against a refused connection that is reported as possibly executed. */
        @Test
        void reportsARefusedConnectionAsNeverSent() throws Exception {
            mServer.close();

            assertThat(failure().neverSent()).isTrue();
        }

        /** Guards against a request that is sent after its deadline. */
        @Test
        void sendsNothingAfterTheDeadline() throws Exception {
            assertThat(failure(-1).neverSent()).isTrue();
            assertThat(fetchBody()).isEqualTo("complete");
            assertThat(mServer.receivedRequests()).hasSize(1);
        }

        /** Guards against a lost response that is reported as not executed. */
        @Test
        void doesNotReportALostResponseAsNeverSent() throws Exception {
            mServer.setHandler((request, out) -> false);

            assertThat(failure().neverSent()).isFalse();
            assertThat(mServer.receivedRequests()).hasSize(1);
        }
    }

    @Nested
    class Cancellation {
        /** Guards against cancelled work that continues because its connection stays open. */
        @Test
        void closesTheConnection() throws Exception {
            CompletableFuture<Boolean> closed = new CompletableFuture<>();
            mServer.setHandler(
                    (request, out) -> {
                        closed.complete(clientClosesWithin(request, 5_000));
                        return false;
                    });
            CompletableFuture<CallException> failed = new CompletableFuture<>();
            Call call = mClient.send(request(TIMEOUT_MILLIS), failing(failed));
            Eventually.until("the request arrived", () -> mServer.receivedRequests().size() == 1);

            call.cancel();

            assertThat(failed.get(30, TimeUnit.SECONDS).neverSent()).isFalse();
            assertThat(mClient.openConnections(mServer.address())).isZero();
            assertThat(closed.get(30, TimeUnit.SECONDS)).isTrue();
        }

        /** Returns whether the client closes the connection; Undertow's drain takes ten seconds. */
        private boolean clientClosesWithin(ScriptedHttpServer.Received request, int millis) {
            return mServer.clientClosesWithin(request.connection(), millis);
        }

        private ResponseHandler failing(CompletableFuture<CallException> failed) {
            return new ResponseHandler() {
                @Override
                public void buffered(BufferedResponse response) {
                    failed.completeExceptionally(new AssertionError("unexpected response"));
                }

                @Override
                public void streamed(StreamedResponse response) {
                    failed.completeExceptionally(
                            new AssertionError("unexpected streamed response"));
                }

                @Override
                public void failed(CallException cause) {
                    failed.complete(cause);
                }
            };
        }
    }
}
