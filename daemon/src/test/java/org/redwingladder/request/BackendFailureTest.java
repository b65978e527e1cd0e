package org.redwingladder.request;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Eventually;
import org.redwingladder.http.ScriptedHttpServer;
import org.redwingladder.request.TestDeployment.Reply;

class BackendFailureTest {
    private final TestDeployment mDeployment = new TestDeployment();
    private final AtomicReference<ScriptedHttpServer.Handler> mFault = new AtomicReference<>();
    private ScriptedHttpServer mNear;
    private ScriptedHttpServer mFar;

    @BeforeEach
    void start() throws Exception {
        mNear =
                mDeployment.zone(
                        "near",
                        "e1",
                        (request, out) ->
                                request.path().startsWith("/warm")
                                        ? ScriptedHttpServer.respond(request, out, 200, "warm")
                                        : mFault.get().respond(request, out));
        mFar =
                mDeployment.zone(
                        "far",
                        "e2",
                        (request, out) ->
                                ScriptedHttpServer.respond(request, out, 200, "from afar"));
        mDeployment.earnRetryTokens("e1", 1);
    }

    @AfterEach
    void stop() throws Exception {
        mDeployment.close();
    }

    private static boolean write(OutputStream out, String text) throws java.io.IOException {
        out.write(text.getBytes(ISO_8859_1));
        return true;
    }

    private static long runs(ScriptedHttpServer backend, String path) {
        return backend.receivedRequests().stream().filter(r -> r.path().equals(path)).count();
    }

    /**
     * Stops a backend server and waits until its pooled connections are closed: a request sent on a
     * connection that the server has closed would have an unknown outcome.
     */
    private void stopAndAwaitDisconnect(ScriptedHttpServer backend) throws Exception {
        backend.close();
        Eventually.until(
                "the pooled connections are closed",
                () -> mDeployment.host("e1").mCaller.openConnections(backend.address()) == 0);
    }

    private void assertUnknownOutcomeAfterOneRun(Reply reply, String reason) {
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.reason()).isEqualTo(reason);
        assertThat(reply.outcome()).isEqualTo("unknown");
        assertThat(reply.header("Redwing-Not-Run")).isNull();
        assertThat(runs(mNear, "/pay")).isEqualTo(1);
        assertThat(runs(mFar, "/pay")).isZero();
    }

    @Nested
    class TruncatedResponse {
        @BeforeEach
        void truncate() {
            mFault.set(
                    (request, out) -> {
                        write(out, ScriptedHttpServer.head(request.id(), 200, 100) + "half");
                        return false;
                    });
        }

        /** Guards against a truncated response, and a GET that is not retried at another site. */
        @Test
        void idempotentRequestIsRetriedAtAnotherSite() throws Exception {
            Reply reply = mDeployment.get("e1", "/page");

            assertThat(reply.body()).isEqualTo("from afar");
            assertThat(mDeployment.host("e1").counter("retry.backend-lost")).isEqualTo(1);
        }

        /** Guards against a refusal that claims "not run" although an earlier attempt has run. */
        @Test
        void finalRefusalReportsUnknownOutcomeIfAnEarlierAttemptRan() throws Exception {
            mFar.close();

            Reply reply = mDeployment.get("e1", "/page");

            assertThat(runs(mNear, "/page")).isEqualTo(1);
            assertThat(reply.status()).isGreaterThanOrEqualTo(500);
            assertThat(reply.outcome()).isEqualTo("unknown");
            assertThat(reply.header("Redwing-Not-Run")).isNull();
        }

        /** Guards against a POST that runs twice because its response was lost. */
        @Test
        void nonIdempotentRequestIsNotRetried() throws Exception {
            assertUnknownOutcomeAfterOneRun(mDeployment.post("e1", "/pay", "5"), "backend-lost");
        }
    }

    @Nested
    class ResponseWithAnotherRequestId {
        @BeforeEach
        void crossResponses() {
            mFault.set(
                    (request, out) ->
                            write(out, ScriptedHttpServer.head("other", 200, 6) + "secret"));
        }

        /** Guards against a response that is delivered to the wrong client. */
        @Test
        void isDiscardedAndIdempotentRequestIsRetried() throws Exception {
            assertThat(mDeployment.get("e1", "/page").body()).isEqualTo("from afar");
        }

        /** Guards against a POST that is retried although it may have run. */
        @Test
        void isDiscardedAndNonIdempotentRequestIsNotRetried() throws Exception {
            assertUnknownOutcomeAfterOneRun(
                    mDeployment.post("e1", "/pay", "5"), "backend-bad-answer");
        }
    }

    @Nested
    class InvalidResponse {
        @BeforeEach
        void sendInvalidStatus() {
            mFault.set(
                    (request, out) -> {
                        String valid = ScriptedHttpServer.head(request.id(), 200, 6) + "secret";
                        return write(out, valid.replace(" 200 ", " 000 "));
                    });
        }

        /** Guards against an invalid status that is delivered to the client. */
        @Test
        void isDiscardedAndIdempotentRequestIsRetried() throws Exception {
            assertThat(mDeployment.get("e1", "/page").body()).isEqualTo("from afar");
        }

        @Test
        void isDiscardedAndNonIdempotentRequestIsNotRetried() throws Exception {
            assertUnknownOutcomeAfterOneRun(
                    mDeployment.post("e1", "/pay", "5"), "backend-bad-answer");
        }
    }

    @Nested
    class DuplicateOrLateResponse {
        /** Guards against a duplicate response that answers the connection's next request. */
        @Test
        void duplicateIsNotDeliveredToTheNextRequest() throws Exception {
            mFault.set(
                    (request, out) -> {
                        ScriptedHttpServer.respond(request, out, 200, request.path());
                        return ScriptedHttpServer.respond(request, out, 200, request.path());
                    });
            for (int i = 0; i < 30; i++) {
                Reply reply = mDeployment.post("e1", "/p" + i, "");

                assertThat(reply.status() == 200 ? reply.body() : reply.reason())
                        .isIn("/p" + i, "backend-bad-answer");
                assertThat(runs(mNear, "/p" + i)).isEqualTo(1);
            }
        }

        /** Guards against a late response that answers the connection's next request. */
        @Test
        void lateResponseIsNotDeliveredToTheNextRequest() throws Exception {
            CountDownLatch late = new CountDownLatch(1);
            mFault.set(
                    (request, out) -> {
                        if (request.path().equals("/late")) {
                            awaitQuietly(late);
                        }
                        return ScriptedHttpServer.respond(request, out, 200, request.path());
                    });
            long deadline = System.currentTimeMillis() + 300;
            Reply timedOut =
                    mDeployment.send(
                            mDeployment
                                    .request("e1", "/v1/services/shop/late")
                                    .header("Redwing-Deadline", Long.toString(deadline))
                                    .POST(java.net.http.HttpRequest.BodyPublishers.noBody()));
            late.countDown();

            assertThat(timedOut.outcome()).isEqualTo("unknown");
            for (int i = 0; i < 10; i++) {
                assertThat(mDeployment.post("e1", "/p" + i, "").body()).isEqualTo("/p" + i);
            }
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Nested
    class RequestThatWasNotRun {
        /** Guards against a shed request that is not retried although it cannot have run. */
        @Test
        void shedNonIdempotentRequestIsRetriedAtAnotherSite() throws Exception {
            mFault.set(
                    (request, out) ->
                            write(
                                    out,
                                    "HTTP/1.1 503 X\r\nRedwing-Not-Run: true\r\n"
                                            + "Redwing-Request-Id: "
                                            + request.id()
                                            + "\r\nContent-Length: 0\r\n\r\n"));

            Reply reply = mDeployment.post("e1", "/pay", "5");

            assertThat(reply.body()).isEqualTo("from afar");
            assertThat(runs(mFar, "/pay")).isEqualTo(1);
            assertThat(mDeployment.host("e1").counter("retry.backend-shed")).isEqualTo(1);
        }

        /** Guards against a 503 without the Redwing-Not-Run header that is treated as shedding. */
        @Test
        void status503WithoutNotRunHeaderIsReturnedToTheClient() throws Exception {
            mFault.set((request, out) -> ScriptedHttpServer.respond(request, out, 503, "busy"));

            Reply reply = mDeployment.post("e1", "/pay", "5");

            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.body()).isEqualTo("busy");
            assertThat(runs(mFar, "/pay")).isZero();
        }

        /** Guards against a refused connection that is treated as an unknown outcome. */
        @Test
        void refusedConnectionIsRetriedAtAnotherSite() throws Exception {
            stopAndAwaitDisconnect(mNear);

            assertThat(mDeployment.post("e1", "/pay", "5").body()).isEqualTo("from afar");
            assertThat(runs(mFar, "/pay")).isEqualTo(1);
        }

        /** Guards against refusals by a site without servers while another site has capacity. */
        @Test
        void siteWithoutServersIsAvoidedWithinTheRetryBudget() throws Exception {
            stopAndAwaitDisconnect(mNear);
            int answered = 0;
            for (int i = 0; i < 20; i++) {
                answered += mDeployment.post("e1", "/pay", "5").status() == 200 ? 1 : 0;
            }

            // The budget has one token from before, and the twenty requests add two.
            assertThat(mDeployment.host("e1").retries()).isBetween(1L, 3L);
            assertThat(answered).isEqualTo(20);
            assertThat(runs(mFar, "/pay")).isEqualTo(20);
        }

        /** Guards against a retry storm under overload. */
        @Test
        void exhaustedRetryBudgetStopsRetries() throws Exception {
            stopAndAwaitDisconnect(mNear);
            stopAndAwaitDisconnect(mFar);
            int budgetExhausted = 0;
            for (int i = 0; i < 20; i++) {
                Reply reply = mDeployment.post("e1", "/pay", "5");
                budgetExhausted += reply.reason().equals("retry-budget") ? 1 : 0;
                assertThat(reply.outcome()).isEqualTo("not-run");
            }

            long retries = mDeployment.host("e1").retries();
            assertThat(retries).isBetween(1L, 3L);
            assertThat(budgetExhausted).isEqualTo(20 - retries);
        }
    }
}
