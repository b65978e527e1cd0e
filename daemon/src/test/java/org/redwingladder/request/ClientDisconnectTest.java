package org.redwingladder.request;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Eventually;
import org.redwingladder.http.ScriptedHttpServer;

class ClientDisconnectTest {
    private final TestDeployment mDeployment = new TestDeployment();
    private final CountDownLatch mRelease = new CountDownLatch(1);
    private ScriptedHttpServer mBackend;

    @BeforeEach
    void start() throws Exception {
        mDeployment.mCluster.mSlots = 1;
        // Longer than the test's waits, so that only the cancellation can end the requests.
        mDeployment.mCluster.mMaxRequestMillis = 60_000;
        mBackend =
                mDeployment.zone(
                        "near",
                        "e1",
                        (request, out) -> {
                            if (request.path().equals("/slow")) {
                                awaitQuietly();
                            }
                            return ScriptedHttpServer.respond(request, out, 200, request.path());
                        });
        mDeployment.host("e2", "near");
    }

    @AfterEach
    void stop() throws Exception {
        mRelease.countDown();
        mDeployment.close();
    }

    private void awaitQuietly() {
        try {
            mRelease.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket send(String host, String path) throws Exception {
        Socket socket =
                new Socket(
                        mDeployment.host(host).clientAddress().getAddress(),
                        mDeployment.host(host).clientAddress().getPort());
        String request = "POST /v1/services/shop" + path + " HTTP/1.1\r\nHost: x\r\n";
        socket.getOutputStream()
                .write((request + "Content-Length: 1\r\n\r\n1").getBytes(ISO_8859_1));
        return socket;
    }

    private long inFlight() {
        return mDeployment.host("e1").mPipeline.inFlight()
                + mDeployment.host("e2").mPipeline.inFlight();
    }

    @Nested
    class QueuedRequest {
        /** Guards against a queued request that still runs after its client has disconnected. */
        @Test
        void isRemovedFromTheQueue() throws Exception {
            for (String host : new String[] {"e1", "e2"}) {
                int before = mBackend.receivedRequests().size();
                Socket slow = send(host, "/slow");
                Eventually.until(
                        "the slot is taken",
                        () -> mBackend.receivedRequests().size() == before + 1);
                Socket queued = send(host, "/queued");
                // A request through e2 counts both there and at the site owner, e1.
                int expected = host.equals("e1") ? 2 : 4;
                Eventually.until("both requests are in progress", () -> inFlight() == expected);

                queued.close();
                Eventually.until(
                        "the disconnect is detected",
                        () -> mDeployment.host(host).counter("clients.gone") >= 1);
                slow.close();
                Eventually.until("nothing is in flight", () -> inFlight() == 0);

                assertThat(mDeployment.get(host, "/next").body()).isEqualTo("/next");
                assertThat(
                                mBackend.receivedRequests().stream()
                                        .map(ScriptedHttpServer.Received::path))
                        .doesNotContain("/queued");
            }
        }
    }

    @Nested
    class RunningRequest {
        /** Guards against a slot that is occupied by the request of a disconnected client. */
        @Test
        void isCancelledByClosingTheBackendConnection() throws Exception {
            for (String host : new String[] {"e1", "e2"}) {
                int before = mBackend.receivedRequests().size();
                Socket slow = send(host, "/slow");
                Eventually.until(
                        "the request runs", () -> mBackend.receivedRequests().size() == before + 1);

                slow.close();
                Eventually.until("nothing is in flight", () -> inFlight() == 0);

                // The only slot is free again, although the backend server has not answered.
                assertThat(mDeployment.get(host, "/next").body()).isEqualTo("/next");
            }
        }
    }
}
