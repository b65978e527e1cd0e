package org.redwingladder.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
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
import org.redwingladder.http.Json;
import org.redwingladder.http.ScriptedHttpServer;
import org.redwingladder.once.SingleUseToken;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.request.TestDeployment.Reply;

class AtMostOnceTokenTest {
    private final TestDeployment mDeployment = new TestDeployment();
    private final AtomicReference<ScriptedHttpServer.Handler> mWork = new AtomicReference<>();
    private ScriptedHttpServer mNear;
    private ScriptedHttpServer mFar;

    @BeforeEach
    void start() throws Exception {
        mWork.set((request, out) -> ScriptedHttpServer.respond(request, out, 201, "paid"));
        mNear = mDeployment.zone("near", "e1", (request, out) -> mWork.get().respond(request, out));
        mFar = mDeployment.zone("far", "e2", (request, out) -> mWork.get().respond(request, out));
    }

    @AfterEach
    void stop() throws Exception {
        mDeployment.close();
    }

    private int runs() {
        return mNear.receivedRequests().size() + mFar.receivedRequests().size();
    }

    @Nested
    class RequestWithToken {
        private String token(String host) throws Exception {
            Reply reply =
                    mDeployment.send(
                            mDeployment
                                    .request(host, "/v1/lookup?service=shop&block=1&once=true")
                                    .GET());
            return Json.tree(reply.body().getBytes()).path("token").asText();
        }

        private HttpRequest.Builder pay(String host, String token) {
            return mDeployment
                    .request(host, "/v1/services/shop/pay")
                    .header("Redwing-Token", token)
                    .POST(BodyPublishers.ofString("5"));
        }

        /** Guards against a second run when a client repeats the request at any host. */
        @Test
        void repeatedUseReplaysTheOutcome() throws Exception {
            String token = token("e1");
            for (String host : List.of("e1", "e1", "e2", "e2")) {
                Reply reply = mDeployment.send(pay(host, token));

                assertThat(reply.status()).isEqualTo(201);
                assertThat(reply.body()).isEqualTo("paid");
            }
            assertThat(runs()).isEqualTo(1);
        }

        /** Guards against a race of two hosts that receive the same token concurrently. */
        @Test
        void concurrentUsesRunOnce() throws Exception {
            String token = token("e1");
            List<CompletableFuture<HttpResponse<String>>> replies = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                replies.add(mDeployment.sendAsync(pay(i % 2 == 0 ? "e1" : "e2", token)));
            }
            for (CompletableFuture<HttpResponse<String>> reply : replies) {
                int status = reply.get(30, TimeUnit.SECONDS).statusCode();
                assertThat(status).isIn(201, 409);
            }
            assertThat(runs()).isEqualTo(1);
        }

        /** Guards against a second run after the response of the first one was lost. */
        @Test
        void repeatedUseIsRefusedIfTheFirstOutcomeIsUnknown() throws Exception {
            mWork.set((request, out) -> false);
            String token = token("e1");

            Reply lost = mDeployment.send(pay("e1", token));
            Reply again = mDeployment.send(pay("e2", token));

            assertThat(lost.outcome()).isEqualTo("unknown");
            assertThat(again.reason()).isEqualTo("token-spent");
            assertThat(again.outcome()).isEqualTo("unknown");
            assertThat(runs()).isEqualTo(1);
        }

        /** Guards against a token that cannot be reused although its request did not run. */
        @Test
        void tokenCanBeReusedAfterARefusalWithoutRun() throws Exception {
            mDeployment.mCluster.mOwnerByZone.clear();
            mDeployment.mCluster.changed();
            String token = token("e1");
            Reply refused = mDeployment.send(pay("e1", token));
            mDeployment.mCluster.mOwnerByZone.put("near", "e1");
            mDeployment.mCluster.changed();

            Reply again = mDeployment.send(pay("e1", token));

            assertThat(refused.outcome()).isEqualTo("not-run");
            assertThat(again.status()).isEqualTo(201);
            assertThat(runs()).isEqualTo(1);
        }

        /** Guards against a restarted host that accepts a token used before the restart. */
        @Test
        void tokenOfAnEarlierIncarnationHasUnknownOutcome() throws Exception {
            String tokenOfEarlierIncarnation =
                    TokenSigner.of(TestHost.TOKEN_KEY)
                            .sign(new SingleUseToken("e1", 0, 1, "shop", Long.MAX_VALUE));

            Reply reply = mDeployment.send(pay("e1", tokenOfEarlierIncarnation));

            assertThat(reply.reason()).isEqualTo("token-foreign");
            assertThat(reply.outcome()).isEqualTo("unknown");
            assertThat(runs()).isZero();
        }

        /** Guards against work that starts after its token was evicted from the store. */
        @Test
        void tokenExpiryBoundsTheLatestStartTime() throws Exception {
            long expiresAt = System.currentTimeMillis() + 2_000;
            String token =
                    TokenSigner.of(TestHost.TOKEN_KEY)
                            .sign(new SingleUseToken("e1", 1, 77, "shop", expiresAt));

            Reply reply = mDeployment.send(pay("e2", token));

            assertThat(reply.status()).isEqualTo(201);
            long startBy =
                    Long.parseLong(
                            mNear.receivedRequests().get(0).headers().get("redwing-start-by"));
            assertThat(startBy).isLessThanOrEqualTo(expiresAt);
        }
    }
}
