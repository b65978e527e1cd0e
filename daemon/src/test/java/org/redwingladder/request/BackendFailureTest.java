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
import org.redwingladder.http.RawBackend;
import org.redwingladder.request.TestDeployment.Reply;

class BackendFailureTest {
    private final TestDeployment mDeployment = new TestDeployment();
    private final AtomicReference<RawBackend.Behaviour> mFault = new AtomicReference<>();
    private RawBackend mNear;
    private RawBackend mFar;

    @BeforeEach
    void start() throws Exception {
        mNear =
                mDeployment.zone(
                        "near",
                        "e1",
                        (request, out) ->
                                request.path().startsWith("/warm")
                                        ? RawBackend.answer(request, out, 200, "warm")
                                        : mFault.get().answer(request, out));
        mFar =
                mDeployment.zone(
                        "far",
                        "e2",
                        (request, out) -> RawBackend.answer(request, out, 200, "from afar"));
        mDeployment.earnRetries("e1", 1);
    }

    @AfterEach
    void stop() throws Exception {
        mDeployment.close();
    }

    private static boolean write(OutputStream out, String text) throws java.io.IOException {
        out.write(text.getBytes(ISO_8859_1));
        return true;
    }

    private static long runs(RawBackend backend, String path) {
        return backend.journal().stream().filter(r -> r.path().equals(path)).count();
    }

    /** A payment on a connection whose end is not noticed yet has an unknown outcome. */
    private void closeAndAwait(RawBackend backend) throws Exception {
        backend.close();
        Eventually.until(
                "the pooled connections are closed",
                () -> mDeployment.host("e1").mCaller.openConnections(backend.address()) == 0);
    }

    private void assertLostOnce(Reply reply, String reason) {
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.reason()).isEqualTo(reason);
        assertThat(reply.outcome()).isEqualTo("unknown");
        assertThat(reply.header("Redwing-Not-Run")).isNull();
        assertThat(runs(mNear, "/pay")).isEqualTo(1);
        assertThat(runs(mFar, "/pay")).isZero();
    }

    @Nested
    class CutOffAnswers {
        @BeforeEach
        void cutOff() {
            mFault.set(
                    (request, out) -> {
                        write(out, RawBackend.head(request.id(), 200, 100) + "half");
                        return false;
                    });
        }

        /** Guards against half an answer, and against a read that is not tried elsewhere. */
        @Test
        void readsAreAnsweredWholeByAnotherSite() throws Exception {
            Reply reply = mDeployment.get("e1", "/page");

            assertThat(reply.body()).isEqualTo("from afar");
            assertThat(mDeployment.host("e1").counter("retry.backend-lost")).isEqualTo(1);
        }

        /** Guards against a read that ran while the last site's refusal says that it did not. */
        @Test
        void refusalsOfReadsThatRanBeforeSaySo() throws Exception {
            mFar.close();

            Reply reply = mDeployment.get("e1", "/page");

            assertThat(runs(mNear, "/page")).isEqualTo(1);
            assertThat(reply.status()).isGreaterThanOrEqualTo(500);
            assertThat(reply.outcome()).isEqualTo("unknown");
            assertThat(reply.header("Redwing-Not-Run")).isNull();
        }

        /** Guards against a payment that runs twice because its answer was lost. */
        @Test
        void paymentsAreNotRepeated() throws Exception {
            assertLostOnce(mDeployment.post("e1", "/pay", "5"), "backend-lost");
        }
    }

    @Nested
    class CrossedAnswers {
        @BeforeEach
        void cross() {
            mFault.set((request, out) -> write(out, RawBackend.head("other", 200, 6) + "secret"));
        }

        /** Guards against one client's answer that reaches another. */
        @Test
        void readsAreAnsweredByAnotherSite() throws Exception {
            assertThat(mDeployment.get("e1", "/page").body()).isEqualTo("from afar");
        }

        /** Guards against a payment that is repeated after another client's answer. */
        @Test
        void paymentsAreNotRepeated() throws Exception {
            assertLostOnce(mDeployment.post("e1", "/pay", "5"), "backend-bad-answer");
        }
    }

    @Nested
    class RepeatedAndLateAnswers {
        /** Guards against an answer sent twice that reaches the next client. */
        @Test
        void nobodyGetsTheSecondCopy() throws Exception {
            mFault.set(
                    (request, out) -> {
                        RawBackend.answer(request, out, 200, request.path());
                        return RawBackend.answer(request, out, 200, request.path());
                    });
            for (int i = 0; i < 30; i++) {
                Reply reply = mDeployment.post("e1", "/p" + i, "");

                assertThat(reply.status() == 200 ? reply.body() : reply.reason())
                        .isIn("/p" + i, "backend-bad-answer");
                assertThat(runs(mNear, "/p" + i)).isEqualTo(1);
            }
        }

        /** Guards against a late answer that reaches the next client on its connection. */
        @Test
        void nobodyGetsALateAnswer() throws Exception {
            CountDownLatch late = new CountDownLatch(1);
            mFault.set(
                    (request, out) -> {
                        if (request.path().equals("/late")) {
                            awaitQuietly(late);
                        }
                        return RawBackend.answer(request, out, 200, request.path());
                    });
            long deadline = System.currentTimeMillis() + 300;
            Reply first =
                    mDeployment.send(
                            mDeployment
                                    .request("e1", "/v1/services/shop/late")
                                    .header("Redwing-Deadline", Long.toString(deadline))
                                    .POST(java.net.http.HttpRequest.BodyPublishers.noBody()));
            late.countDown();

            assertThat(first.outcome()).isEqualTo("unknown");
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
    class CertainlyNotRun {
        /** Guards against shed work that is given up although it certainly did not run. */
        @Test
        void shedPaymentsRunElsewhereOnce() throws Exception {
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

        /** Guards against a 503 without the mark that is taken for work that did not run. */
        @Test
        void anUnmarkedErrorIsTheAnswer() throws Exception {
            mFault.set((request, out) -> RawBackend.answer(request, out, 503, "busy"));

            Reply reply = mDeployment.post("e1", "/pay", "5");

            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.body()).isEqualTo("busy");
            assertThat(runs(mFar, "/pay")).isZero();
        }

        /** Guards against a refused connection that counts as work that may have run. */
        @Test
        void paymentsRunElsewhereAfterARefusedConnection() throws Exception {
            closeAndAwait(mNear);

            assertThat(mDeployment.post("e1", "/pay", "5").body()).isEqualTo("from afar");
            assertThat(runs(mFar, "/pay")).isEqualTo(1);
        }

        /** Guards against requests refused at a closed site while another one has room. */
        @Test
        void aClosedSiteIsLeftWithinTheBudget() throws Exception {
            closeAndAwait(mNear);
            int answered = 0;
            for (int i = 0; i < 20; i++) {
                answered += mDeployment.post("e1", "/pay", "5").status() == 200 ? 1 : 0;
            }

            // One retry was earned before, and the twenty requests earn two more.
            assertThat(mDeployment.host("e1").retries()).isBetween(1L, 3L);
            assertThat(answered).isEqualTo(20);
            assertThat(runs(mFar, "/pay")).isEqualTo(20);
        }

        /** Guards against retries that multiply the load of an overload. */
        @Test
        void aSpentBudgetEndsTheRetries() throws Exception {
            closeAndAwait(mNear);
            closeAndAwait(mFar);
            int budgetSpent = 0;
            for (int i = 0; i < 20; i++) {
                Reply reply = mDeployment.post("e1", "/pay", "5");
                budgetSpent += reply.reason().equals("retry-budget") ? 1 : 0;
                assertThat(reply.outcome()).isEqualTo("not-run");
            }

            long retries = mDeployment.host("e1").retries();
            assertThat(retries).isBetween(1L, 3L);
            assertThat(budgetSpent).isEqualTo(20 - retries);
        }
    }
}
