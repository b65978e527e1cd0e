package org.redwingladder.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Eventually;
import org.redwingladder.http.ScriptedHttpServer;
import org.redwingladder.request.TestDeployment.Reply;
import org.redwingladder.standin.PlatformFaults;
import org.redwingladder.standin.PlatformServer;

class IdempotencyKeyTest {
    private final TestDeployment mDeployment = new TestDeployment();
    private final AtomicReference<ScriptedHttpServer.Handler> mWork = new AtomicReference<>();
    private PlatformServer mPlatform;
    private ScriptedHttpServer mBackend;

    @BeforeEach
    void start() throws Exception {
        mPlatform = PlatformServer.start();
        mDeployment.platform(mPlatform.socketAddress());
        mWork.set((request, out) -> ScriptedHttpServer.respond(request, out, 201, "paid"));
        mBackend =
                mDeployment.zone("near", "e1", (request, out) -> mWork.get().respond(request, out));
        mDeployment.host("e2", "near");
    }

    @AfterEach
    void stop() throws Exception {
        mDeployment.close();
        mPlatform.close();
    }

    private java.net.http.HttpRequest.Builder pay(String host, String key) {
        return mDeployment
                .request(host, "/v1/services/shop/pay")
                .header("Idempotency-Key", key)
                .POST(BodyPublishers.ofString("5"));
    }

    private void awaitOutcome(String key) {
        Eventually.until(
                "the outcome is written",
                () -> {
                    try {
                        return mDeployment.send(pay("e1", key)).status() == 201;
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                });
    }

    @Nested
    class RepeatedKey {
        /** Guards against a second run when the key is used again at another entry host. */
        @Test
        void replaysTheOutcomeAtAnyHost() throws Exception {
            Reply first = mDeployment.send(pay("e1", "k1"));
            awaitOutcome("k1");
            Reply second = mDeployment.send(pay("e2", "k1"));

            assertThat(first.status()).isEqualTo(201);
            assertThat(second.status()).isEqualTo(201);
            assertThat(second.body()).isEqualTo("paid");
            assertThat(mBackend.receivedRequests()).hasSize(1);
        }

        /** Guards against a race of two hosts that claim the same key concurrently. */
        @Test
        void runsOnceUnderConcurrentUse() throws Exception {
            List<CompletableFuture<HttpResponse<String>>> replies = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                replies.add(mDeployment.sendAsync(pay(i % 2 == 0 ? "e1" : "e2", "k2")));
            }
            for (CompletableFuture<HttpResponse<String>> reply : replies) {
                assertThat(reply.get(30, TimeUnit.SECONDS).statusCode()).isIn(201, 409);
            }
            assertThat(mBackend.receivedRequests()).hasSize(1);
        }

        /** Guards against a second run after the response of the first one was lost. */
        @Test
        void isRefusedIfTheFirstOutcomeIsUnknown() throws Exception {
            mWork.set((request, out) -> false);
            Reply lost = mDeployment.send(pay("e1", "k3"));
            Reply again = mDeployment.send(pay("e2", "k3"));

            assertThat(lost.outcome()).isEqualTo("unknown");
            assertThat(again.reason()).isEqualTo("claim-exists");
            assertThat(again.outcome()).isEqualTo("unknown");
            assertThat(mBackend.receivedRequests()).hasSize(1);
        }
    }

    @Nested
    class PlatformFailures {
        /** Guards against work that runs without a claim on its key. */
        @Test
        void requestIsRefusedWhileThePlatformIsDown() throws Exception {
            mPlatform.inject(PlatformFaults.NONE.withDown(true));
            long deadline = System.currentTimeMillis() + 1_000;

            Reply reply =
                    mDeployment.send(pay("e1", "k4").header("Redwing-Deadline", "" + deadline));

            assertThat(reply.reason()).isEqualTo("platform-unavailable");
            assertThat(reply.outcome()).isEqualTo("not-run");
            assertThat(mBackend.receivedRequests()).isEmpty();
        }

        /** Guards against an attempt that mistakes its own claim for that of another attempt. */
        @Test
        void claimIsReadBackIfTheResponseToItsWriteIsLost() throws Exception {
            mPlatform.inject(PlatformFaults.NONE.withLostAnswers(1));

            Reply reply = mDeployment.send(pay("e1", "k5"));

            assertThat(reply.status()).isEqualTo(201);
            assertThat(mBackend.receivedRequests()).hasSize(1);
        }
    }
}
