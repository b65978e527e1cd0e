package org.redwingladder.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.ScriptedHttpServer;
import org.redwingladder.limits.SiteCap;
import org.redwingladder.request.TestDeployment.Reply;

class SiteOwnershipTest {
    private final TestDeployment mDeployment = new TestDeployment();
    private ScriptedHttpServer mBackend;

    @BeforeEach
    void start() throws Exception {
        mBackend =
                mDeployment.zone(
                        "near",
                        "e1",
                        (request, out) -> ScriptedHttpServer.respond(request, out, 200, "ran"));
        mDeployment.host("e2", "near");
    }

    @AfterEach
    void stop() throws Exception {
        mDeployment.close();
    }

    @Nested
    class OwnerLease {
        /** Guards against an owner that dispatches while its zone may have elected another one. */
        @Test
        void expiredLeaseRefusesRequestsWithoutSending() throws Exception {
            mDeployment.host("e1").mView.mOwnerLeaseNanos = -TimeUnit.SECONDS.toNanos(1);
            for (String host : new String[] {"e1", "e2"}) {
                Reply reply = mDeployment.post(host, "/pay", "5");

                assertThat(reply.reason()).isEqualTo("not-confirmed");
                assertThat(reply.outcome()).isEqualTo("not-run");
                assertThat(reply.header("Redwing-Not-Run")).isEqualTo("true");
            }
            assertThat(mBackend.receivedRequests()).isEmpty();
        }

        /** Guards against work that a backend server starts after the lease has expired. */
        @Test
        void leaseExpiryIsSentAsTheLatestStartTime() throws Exception {
            mDeployment.host("e1").mView.mOwnerLeaseNanos = TimeUnit.SECONDS.toNanos(2);
            long before = System.currentTimeMillis();

            mDeployment.post("e1", "/pay", "5");

            long after = System.currentTimeMillis();
            long startBy =
                    Long.parseLong(
                            mBackend.receivedRequests().get(0).headers().get("redwing-start-by"));
            assertThat(startBy).isBetween(before + 1_990, after + 2_000);
        }
    }

    @Nested
    class Caps {
        /** Guards against a site that exceeds its share of a cap. */
        @Test
        void requestAboveTheRateCapIsRefused() throws Exception {
            mDeployment.mCluster.mCaps = java.util.List.of(new SiteCap("c", "any", 0, -1));
            mDeployment.mCluster.changed();

            Reply reply = mDeployment.post("e1", "/pay", "5");

            assertThat(reply.status()).isEqualTo(429);
            assertThat(reply.reason()).isEqualTo("cap-rate");
            assertThat(mBackend.receivedRequests()).isEmpty();
            assertThat(mDeployment.host("e1").counter("refusal.cap-rate")).isEqualTo(1);
        }
    }

    @Nested
    class OwnerChange {
        /** Guards against a host that still serves a site after it has moved to another host. */
        @Test
        void requestIsForwardedToTheNewOwner() throws Exception {
            mDeployment.mCluster.mOwnerByZone.put("near", "e2");
            mDeployment.mCluster.changed();

            assertThat(mDeployment.post("e1", "/pay", "5").body()).isEqualTo("ran");
            assertThat(mDeployment.host("e1").mPipeline.traces(requestId()))
                    .anySatisfy(
                            trace ->
                                    assertThat(trace.steps())
                                            .anySatisfy(
                                                    step ->
                                                            assertThat(step.candidate())
                                                                    .contains("e2")));
        }

        private String requestId() {
            return mBackend.receivedRequests().get(0).id();
        }
    }
}
